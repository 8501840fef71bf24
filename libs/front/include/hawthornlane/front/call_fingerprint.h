// The fingerprint of a call.
#pragma once

#include <optional>

#include "hawthornlane/http/message.h"
#include "hawthornlane/limits/request_fingerprint.h"
#include "hawthornlane/relay/call_terms.h"
#include "hawthornlane/units/ids.h"

namespace hawthornlane::front {

/// Covers the account and everything that tells a server what to do, but not what differs between
/// two attempts: their ids, deadlines and the event from which a stream goes on. `request.body` is
/// the caller's input; `terms` hold ids that are scoped to the account.
///
/// Nothing if the call has no body, program, session, affinity key or prompt: such a call cannot be
/// told apart from other calls to the same target.
std::optional<request_fingerprint> fingerprint_of(const http::request& request,
                                                  const relay::call_terms& terms,
                                                  const client_account& account);

}  // namespace hawthornlane::front

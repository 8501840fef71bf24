// Interface to the quotas of client accounts, as call_service uses it.
#pragma once

#include <boost/asio/awaitable.hpp>
#include <cstdint>

#include "hawthornlane/limits/quota_messages.h"
#include "hawthornlane/limits/quota_round.h"
#include "hawthornlane/net/deadline_sweeper.h"

namespace hawthornlane::front {

struct quota_admission {
  quota_decision decision = quota_decision::unknown;
  /// Only if over the limit: the time until a call can be granted again.
  duration retry_after{};
};

/// Charges calls to their accounts' quotas. Not thread-safe; the coroutines run on one thread.
class quota_gate {
public:
  quota_gate() = default;
  quota_gate(const quota_gate&) = delete;
  quota_gate& operator=(const quota_gate&) = delete;
  virtual ~quota_gate() = default;

  /// A call that is not granted must not be sent. `program_hash` must be equal for all calls of a
  /// program; it orders the managers that are asked.
  virtual boost::asio::awaitable<quota_admission> admit(quota_request request,
                                                        std::uint64_t program_hash,
                                                        net::steady_time until) = 0;
};

}  // namespace hawthornlane::front

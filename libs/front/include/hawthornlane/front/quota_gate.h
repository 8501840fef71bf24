// What the relay needs of the client accounts' quotas.
#pragma once

#include <boost/asio/awaitable.hpp>
#include <cstdint>

#include "hawthornlane/limits/quota_messages.h"
#include "hawthornlane/limits/quota_round.h"
#include "hawthornlane/net/deadline_sweeper.h"

namespace hawthornlane::front {

struct quota_admission {
  quota_decision decision = quota_decision::unknown;
  /// When over the limit: the earliest time at which there is room for a call again.
  duration retry_after{};
};

/// Takes calls out of their accounts' quotas. Coroutines of one thread.
class quota_gate {
public:
  quota_gate() = default;
  quota_gate(const quota_gate&) = delete;
  quota_gate& operator=(const quota_gate&) = delete;
  virtual ~quota_gate() = default;

  /// Unless the call is granted it must not be sent. `spread`: any number that calls of one
  /// program share.
  virtual boost::asio::awaitable<quota_admission> admit(quota_request question,
                                                        std::uint64_t spread,
                                                        net::steady_time until) = 0;
};

}  // namespace hawthornlane::front

// The front host's side of the quotas: asks the disk hosts that keep them.
#pragma once

#include <boost/asio/io_context.hpp>
#include <functional>
#include <string>
#include <vector>

#include "hawthornlane/front/quota_gate.h"
#include "hawthornlane/net/rpc.h"
#include "hawthornlane/turn_ledger/ledger_set.h"

namespace hawthornlane::front {

/// How disk hosts are reached.
struct quota_hooks {
  /// The disks whose hosts keep the quotas, by this host's knowledge; none: not known yet.
  std::function<std::vector<disk_id>()> keepers;
  /// Whether a keeper answers, as far as this host knows.
  std::function<bool(const disk_id&)> reaches;
  std::function<void(const disk_id&, std::string payload, duration limit, net::rpc_done)> ask;
};

/// Asks one keeper after the other, each a little later than the one before when that one is
/// silent. While no keeper grants or refuses, as when all hosts have just started, it asks again
/// for a moment: a caller that is sent away loses more time than that. For one thread.
class quota_client final : public quota_gate {
public:
  quota_client(boost::asio::io_context& io, quota_hooks with)
      : context(io), hooks(std::move(with)) {}

  boost::asio::awaitable<quota_admission> admit(quota_request question, std::uint64_t spread,
                                                net::steady_time until) override;

private:
  struct asking;
  /// Asks each keeper once.
  boost::asio::awaitable<quota_admission> ask_round(const std::string& payload,
                                                    std::uint64_t spread,
                                                    net::steady_time give_up_at);
  /// In the order in which they are asked: those that answer first, and among them by `spread`,
  /// so that the calls of an account use all parts of its quota alike.
  [[nodiscard]] std::vector<disk_id> order_of(std::uint64_t spread) const;
  void ask(const std::shared_ptr<asking>& state, std::size_t keeper);

  boost::asio::io_context& context;
  quota_hooks hooks;
};

}  // namespace hawthornlane::front

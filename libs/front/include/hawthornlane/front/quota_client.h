// The front host's client of the quotas: asks the quota managers, which run on disk hosts.
#pragma once

#include <boost/asio/io_context.hpp>
#include <functional>
#include <string>
#include <vector>

#include "hawthornlane/front/quota_gate.h"
#include "hawthornlane/net/rpc.h"
#include "hawthornlane/turn_ledger/ledger_set.h"

namespace hawthornlane::front {

/// Callbacks to reach the quota managers.
struct quota_hooks {
  /// The disks whose hosts are quota managers; empty if not known yet.
  std::function<std::vector<disk_id>()> managers;
  /// Whether this host believes that a manager answers.
  std::function<bool(const disk_id&)> reaches;
  std::function<void(const disk_id&, std::string payload, duration limit, net::rpc_done)> ask;
};

/// Asks the managers one after the other, the next one after a short delay if the previous one has
/// not answered. While no manager grants or refuses, for example when all hosts have just started,
/// it retries for a short time: a refused caller would lose more time than that. Not thread-safe.
class quota_client final : public quota_gate {
public:
  quota_client(boost::asio::io_context& io, quota_hooks callbacks)
      : context(io), hooks(std::move(callbacks)) {}

  boost::asio::awaitable<quota_admission> admit(quota_request request, std::uint64_t program_hash,
                                                net::steady_time until) override;

private:
  struct round_state;
  /// Asks each manager once.
  boost::asio::awaitable<quota_admission> ask_round(const std::string& payload,
                                                    std::uint64_t program_hash,
                                                    net::steady_time give_up_at);
  /// The managers in the order in which they are asked: reachable ones first, then by a rendezvous
  /// hash, so that the calls of an account use all parts of its quota evenly.
  [[nodiscard]] std::vector<disk_id> ordered_managers(std::uint64_t program_hash) const;
  void ask(const std::shared_ptr<round_state>& state, std::size_t manager);

  boost::asio::io_context& context;
  quota_hooks hooks;
};

}  // namespace hawthornlane::front

// The front host's side of the ledger: asks the disk hosts and concludes.
#pragma once

#include <boost/asio/io_context.hpp>
#include <functional>
#include <list>
#include <map>
#include <memory>
#include <string>
#include <unordered_map>

#include "hawthornlane/discovery/fleet_state.h"
#include "hawthornlane/front/gossip_messages.h"
#include "hawthornlane/front/peer_traffic.h"
#include "hawthornlane/front/turn_cache.h"
#include "hawthornlane/front/turn_store.h"
#include "hawthornlane/net/rpc.h"
#include "hawthornlane/platform_adapter/store_objects.h"
#include "hawthornlane/turn_ledger/quorum_checks.h"

namespace hawthornlane::front {

/// Reserves, reads and settles at the disks of the current set. For one thread.
class ledger_client final : public turn_store {
public:
  ledger_client(boost::asio::io_context& context, net::deadline_sweeper& sweeper,
                const discovery::fleet_state& fleet, availability_zone here,
                std::size_t cache_bytes);
  ledger_client(const ledger_client&) = delete;
  ledger_client& operator=(const ledger_client&) = delete;
  ~ledger_client() override;

  /// Takes the set of disks out of the hosts' objects, if it is there and newer.
  void adopt_ledger_set(const platform_adapter::object_page& page);
  /// A newer set that somebody told.
  void adopt_ledger_set(const ledger_set& told, const std::string& source);
  /// The disk hosts may have changed.
  void refresh_hosts();

  boost::asio::awaitable<turn_admission> admit(turn_request turn, net::steady_time until) override;
  boost::asio::awaitable<bool> settle(turn_request turn, turn_result result,
                                      net::steady_time until) override;
  void withdraw(const turn_request& turn) override;

  /// Passes a question to a disk host on by way of another front host.
  using relay_hook =
      std::function<void(const relayed_request&, duration limit, net::rpc_done done)>;
  void set_relay(relay_hook hook) { this->relay = std::move(hook); }
  /// Counts there what this host asks of disk hosts itself.
  void set_traffic(peer_traffic shared) { this->traffic = std::move(shared); }
  /// Serves another front host that does not reach a disk host itself.
  void serve_relayed(const std::string& payload, const net::rpc_reply& reply);
  /// Looks whether disk hosts that were not reached, or never asked, can be reached.
  void tick();
  /// The set names a disk whose host is not known yet.
  [[nodiscard]] bool lacks_address() const;
  /// Disks of the set that have answered this host itself and are not silent since.
  [[nodiscard]] std::uint32_t reached() const;

  /// Asks a disk host of the set something besides the ledger's own questions.
  void ask_disk(const disk_id& disk, ledger_method method, std::string payload, duration limit,
                net::rpc_done done);
  /// Whether a disk host answers this host itself.
  [[nodiscard]] bool reaches(const disk_id& disk) const;

  [[nodiscard]] const std::optional<ledger_set>& current() const { return this->set; }

private:
  struct disk_link;
  struct admission_state;
  struct settle_state;

  /// What is asked of some disk hosts.
  struct question {
    ledger_method method{};
    /// One for all disks and both ways: it may hold a turn's whole body.
    std::shared_ptr<const std::string> payload;
    /// For an answer by whatever way, besides what question and answer take on the links.
    duration limit{};
    /// What it may take to leave, behind all that is underway. Set when it is asked.
    duration sending{};
    /// What its answer may take to arrive.
    duration arriving{};
    /// A disk host was silent and is asked by way of another front host; or empty.
    std::function<void()> on_silence;

    [[nodiscard]] duration on_the_way() const { return this->sending + this->arriving; }
  };
  [[nodiscard]] static question make_question(ledger_method method, std::string payload,
                                              duration limit);
  /// What that many bytes and all that are underway may take on this host's link, which
  /// the links to all disks share.
  [[nodiscard]] duration time_to_send(std::size_t bytes) const;
  /// Counts the bytes as underway until it is called.
  net::rpc_done while_underway(std::size_t bytes, net::rpc_done done);
  /// Asks a disk host, itself or by way of another front host.
  void ask(const disk_id& disk, const question& what, net::rpc_done done);
  void ask_by_relay(const disk_id& disk, const question& what, duration limit, net::rpc_done done);
  /// A disk host was asked directly.
  void note_outcome(const disk_id& disk, net::rpc_failure why);
  /// To disk hosts that are neither listed nor in the set.
  void drop_links();
  boost::asio::awaitable<bool> admit_once(std::shared_ptr<admission_state> state,
                                          turn_admission& result);
  /// What is done with the answers of one round of questions.
  template <class Answer>
  struct round_hooks {
    std::function<void(const Answer&)> answered;
    /// No answer will come from that disk.
    std::function<void(const disk_id&)> failed;
    /// That disk says that the set is not the newest any more.
    std::function<void(const disk_id&)> stale;
  };
  /// Asks some disks of a set the same question.
  template <class Answer>
  void ask_each(const std::vector<disk_id>& disks, question what, const round_hooks<Answer>& hooks);

  void send_appends(const std::shared_ptr<admission_state>& state);
  void send_collects(const std::shared_ptr<admission_state>& state);
  /// A chain is read from one disk host, in this zone where there is one; from a second
  /// one, of another zone, when that one is slow; from all others when one of these lacks
  /// it or is silent.
  void ask_first_for_chain(const std::shared_ptr<admission_state>& state);
  void ask_second_for_chain(const std::shared_ptr<admission_state>& state);
  void ask_others_for_chain(const std::shared_ptr<admission_state>& state);
  /// None when all members were asked.
  [[nodiscard]] std::optional<disk_id> choose_for_chain(const admission_state& state,
                                                        bool in_this_zone) const;
  void send_chain_reads(const std::shared_ptr<admission_state>& state,
                        const std::vector<disk_id>& disks);
  /// At the set in hand.
  std::shared_ptr<settle_state> begin_settlement(append_request& request);
  /// Has a record taken by a majority, at this set or the next ones; false when `until` comes
  /// first. The record may hold a whole turn: it is not copied.
  boost::asio::awaitable<bool> keep_record(append_request& request, net::steady_time until);
  boost::asio::awaitable<void> keep_withdrawal(append_request request);
  /// A withdrawal of another turn of its program is not kept by a majority yet.
  [[nodiscard]] bool withdraws(const turn_request& turn) const;
  void send_settlement(const std::shared_ptr<settle_state>& state,
                       const std::vector<disk_id>& disks);
  void conclude(const admission_state& state, turn_admission& result);
  void note_stale(const std::optional<ledger_set>& newest);
  /// The set that was asked is still the newest known: to ask it again brings the same
  /// answer until there are news, so whoever does has to pause.
  [[nodiscard]] bool holds_still(set_epoch asked) const;

  boost::asio::io_context& context;
  net::deadline_sweeper& sweeper;
  const discovery::fleet_state& fleet;
  availability_zone zone;
  std::optional<ledger_set> set;
  std::map<disk_id, disk_link> links;
  relay_hook relay;
  peer_traffic traffic;
  net::steady_time next_probe{};
  /// Invariant: bytes of the questions that are not answered yet, each copy counted.
  std::size_t bytes_underway = 0;
  turn_cache cache;
  /// Withdrawals that no majority has yet. Invariant: each count is above 0.
  std::map<program_id, std::uint32_t> withdrawals;
};

}  // namespace hawthornlane::front

// The front host's client of the turn ledger: sends requests to the disk hosts and decides by
// majority.
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

/// Why a disk took no part in a round.
enum class disk_miss : std::uint8_t {
  /// No link to its host is known, and no other front host relayed the request in time.
  no_address,
  /// Neither a direct nor a relayed answer came in time.
  no_answer,
  /// The disk host refused the request: its log failed, or its answer was unreadable.
  refused,
  /// Another disk answered at the address.
  other_disk,
};

/// Reserves, reads and settles turns at the disks of the current set. Not thread-safe.
class ledger_client final : public turn_store {
public:
  ledger_client(boost::asio::io_context& context, net::deadline_sweeper& sweeper,
                const discovery::fleet_state& fleet, availability_zone own_zone,
                std::size_t cache_bytes);
  ledger_client(const ledger_client&) = delete;
  ledger_client& operator=(const ledger_client&) = delete;
  ~ledger_client() override;

  /// Adopts the set of disks from a page of the hosts' objects, if it holds a newer one.
  void adopt_ledger_set(const platform_adapter::object_page& page);
  /// Adopts `newer` if its epoch is newer. `source` is for the log.
  void adopt_ledger_set(const ledger_set& newer, const std::string& source);
  /// Updates the links after the list of hosts has changed.
  void refresh_hosts();

  boost::asio::awaitable<turn_admission> admit(turn_request turn, net::steady_time until) override;
  boost::asio::awaitable<bool> settle(turn_request turn, turn_result result,
                                      net::steady_time until) override;
  void store_origin(const turn_request& turn, const stream_origin& origin, net::steady_time until,
                    std::function<void(bool stored)> done) override;
  void withdraw(const turn_request& turn) override;

  /// Relays a request to a disk host through another front host.
  using relay_hook =
      std::function<void(const relayed_request&, duration limit, net::rpc_done done)>;
  void set_relay(relay_hook hook) { this->relay = std::move(hook); }
  /// Sets where the bytes of direct requests to disk hosts are counted.
  void set_traffic(peer_traffic shared) { this->traffic = std::move(shared); }
  /// Relays a request of another front host that cannot reach a disk host directly.
  void serve_relayed(const std::string& payload, const net::rpc_reply& reply);
  /// Probes disk hosts that are suspected or have never answered.
  void tick();
  /// Whether the set names a disk whose host is not known yet.
  [[nodiscard]] bool lacks_address() const;
  /// Number of disks of the set that have answered directly and are not suspected.
  [[nodiscard]] std::uint32_t reached() const;

  /// Sends a disk host of the set a request that is not one of the ledger's own.
  void ask_disk(const disk_id& disk, ledger_method method, std::string payload, duration limit,
                net::rpc_done done);
  /// Whether a disk host answers this host directly.
  [[nodiscard]] bool reaches(const disk_id& disk) const;

  [[nodiscard]] const std::optional<ledger_set>& current() const { return this->set; }

private:
  struct disk_link;
  struct admission_state;
  struct settle_state;

  /// A request to one or more disk hosts.
  struct disk_request {
    ledger_method method{};
    /// Shared by all disks, and by direct and relayed sends: it may hold a turn's whole body.
    std::shared_ptr<const std::string> payload;
    /// Time for an answer, direct and relayed together, without the transfer times below.
    duration limit{};
    /// Time for the request to leave this host, after all bytes in flight. Set when it is sent.
    duration send_time{};
    /// Time for the answer to arrive.
    duration arrival_time{};
    /// Called if a disk host did not answer and the request is relayed instead; may be empty.
    std::function<void()> on_no_answer;

    [[nodiscard]] duration transfer_time() const { return this->send_time + this->arrival_time; }
  };
  [[nodiscard]] static disk_request make_request(ledger_method method, std::string payload,
                                                 duration limit);
  /// Time to send `bytes` after all bytes in flight over this host's link, which the connections
  /// to all disks share.
  [[nodiscard]] duration time_to_send(std::size_t bytes) const;
  /// Wraps `done`: counts the bytes as in flight until it is called.
  net::rpc_done count_in_flight(std::size_t bytes, net::rpc_done done);
  /// Sends a request to a disk host, directly or through another front host.
  void ask(const disk_id& disk, const disk_request& what, net::rpc_done done);
  void ask_by_relay(const disk_id& disk, const disk_request& what, duration limit,
                    net::rpc_done done);
  /// Why a request to a disk failed. A refusal by a host that relays says only that it does not
  /// reach the disk either.
  [[nodiscard]] disk_miss miss_of(const disk_id& disk, net::rpc_failure why) const;
  /// Records the outcome of a direct request.
  void note_outcome(const disk_id& disk, net::rpc_failure why);
  /// Drops links to disk hosts that are neither listed nor in the set.
  void drop_links();
  boost::asio::awaitable<bool> admit_once(std::shared_ptr<admission_state> state,
                                          turn_admission& result);
  /// Callbacks for the answers of one round of requests.
  template <class Answer>
  struct round_hooks {
    std::function<void(const Answer&)> answered;
    /// The disk will not answer.
    std::function<void(const disk_id&, disk_miss)> failed;
    /// The disk has refused the request because the set is outdated.
    std::function<void(const disk_id&)> stale;
  };
  /// Sends the same request to some disks of a set.
  template <class Answer>
  void ask_each(const std::vector<disk_id>& disks, disk_request what,
                const round_hooks<Answer>& hooks);

  void send_appends(const std::shared_ptr<admission_state>& state);
  void send_collects(const std::shared_ptr<admission_state>& state);
  /// A chain is read from one disk host, preferably in this zone. If that one is slow, it is also
  /// read from a second one, preferably in another zone. If one of these lacks it or does not
  /// answer, it is read from all others. If the answers have only the chain's newer turns, the
  /// chain of the turn before them is read in the same way.
  void ask_first_for_chain(const std::shared_ptr<admission_state>& state);
  void ask_second_for_chain(const std::shared_ptr<admission_state>& state);
  void ask_others_for_chain(const std::shared_ptr<admission_state>& state);
  /// Returns nothing if all members were asked.
  [[nodiscard]] std::optional<disk_id> choose_for_chain(const admission_state& state,
                                                        bool in_this_zone) const;
  void send_chain_reads(const std::shared_ptr<admission_state>& state,
                        const std::vector<disk_id>& disks);
  /// Starts a settlement at the current set.
  std::shared_ptr<settle_state> begin_settlement(append_request& request);
  /// Stores a record at a majority of the current set or a later one; returns false if `until`
  /// passes first. The record is not copied, since it may hold a whole turn.
  boost::asio::awaitable<bool> store_record(append_request& request, net::steady_time until);
  boost::asio::awaitable<void> store_origin_record(append_request request, net::steady_time until,
                                                   std::function<void(bool stored)> done);
  boost::asio::awaitable<void> store_withdrawal(append_request request);
  /// Whether a withdrawal for the turn's program is not yet stored by a majority.
  [[nodiscard]] bool is_withdrawing(const turn_request& turn) const;
  void send_settlement(const std::shared_ptr<settle_state>& state,
                       const std::vector<disk_id>& disks);
  void conclude(const admission_state& state, turn_admission& result);
  /// Says why an admission found too few answers.
  [[nodiscard]] std::string describe_failure(const admission_state& state) const;
  /// Says which disks of the set did not take part in an admission, and why.
  [[nodiscard]] std::string describe_missing(const admission_state& state) const;
  /// The disk's host and identity, for the log.
  [[nodiscard]] std::string name_of(const disk_id& disk) const;
  void note_stale(const std::optional<ledger_set>& newest);
  /// Whether the set at epoch `asked` is still the newest known. Asking it again gives the same
  /// answer until a newer set is known, so callers must pause before they retry.
  [[nodiscard]] bool is_newest_epoch(set_epoch asked) const;

  boost::asio::io_context& context;
  net::deadline_sweeper& sweeper;
  const discovery::fleet_state& fleet;
  availability_zone zone;
  std::optional<ledger_set> set;
  std::map<disk_id, disk_link> links;
  relay_hook relay;
  peer_traffic traffic;
  net::steady_time next_probe{};
  /// Invariant: bytes of all unanswered requests, counting each copy.
  std::size_t bytes_in_flight = 0;
  turn_cache cache;
  /// Number of withdrawals not yet stored by a majority. Invariant: each count is above 0.
  std::map<program_id, std::uint32_t> withdrawals;
};

}  // namespace hawthornlane::front

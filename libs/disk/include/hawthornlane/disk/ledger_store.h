// One disk's ledger: the copy in memory and the log that makes it durable.
#pragma once

#include <boost/asio/io_context.hpp>
#include <cstdint>
#include <deque>
#include <functional>
#include <memory>
#include <optional>
#include <string>

#include "hawthornlane/turn_ledger/ledger_replica.h"
#include "hawthornlane/turn_ledger/set_change.h"
#include "hawthornlane/turn_log/turn_log.h"

namespace hawthornlane::disk {

/// What else is kept in the log, in records of its own form.
struct side_journal {
  /// Called for each of its records at a start, in the order in which they were written.
  std::function<void(const std::string& record)> replay = [](const std::string&) {};
  /// The record that stands for all before it, when the log is begun anew.
  std::function<std::string()> whole;
};

/// Answers requests about the ledger; an answer to a change comes only after the
/// change is on disk. For one thread.
class ledger_store {
public:
  using reply = std::function<void(std::optional<std::string>)>;

  /// Throws `std::runtime_error` when the folder cannot be used.
  ledger_store(boost::asio::io_context& context, const std::string& folder,
               std::uint64_t disk_bytes,
               std::uint64_t segment_bytes = turn_log::usual_segment_bytes,
               side_journal journal = {});
  ledger_store(const ledger_store&) = delete;
  ledger_store& operator=(const ledger_store&) = delete;
  ~ledger_store();

  /// Serves one request; refuses what is no request of the ledger.
  void serve(ledger_method method, const std::string& payload, const reply& answer);
  /// Takes over records that another disk holds; `done` when they are on disk.
  void adopt(const std::vector<ledger_record>& records, std::function<void(bool good)> done);
  /// Appends a record of the side journal; `done` when it is on disk.
  void append_beside(const std::string& record, std::function<void(bool good)> done);
  /// Forgets what has expired, and shortens the log when it has grown long.
  void tick();

  [[nodiscard]] const disk_id& identity() const { return this->id; }
  [[nodiscard]] const ledger_replica& held() const { return this->copy; }
  [[nodiscard]] std::uint64_t log_bytes() const { return this->log->size(); }
  [[nodiscard]] bool failed() const { return this->broken; }

  /// A set that the store holds. Askers of older ones are refused from now on, and told of
  /// the newest: one that waits for a disk of an older set would wait in vain.
  void set_newest(const ledger_set& set);
  /// This disk has copied for the joint set of that epoch.
  void set_copied(set_epoch epoch) { this->copied = epoch; }

private:
  struct waiting_reply {
    std::uint64_t record = 0;
    std::function<void(bool good)> tell;
  };

  void load_identity(const std::string& folder);
  void on_record(std::string_view bytes);
  /// Takes over a fence from its bytes; false when they are none.
  bool take_fence(const std::string& bytes);
  /// The fence as it stands, with its set where that is known.
  [[nodiscard]] std::string fence_bytes() const;
  void on_durable(std::uint64_t up_to, bool good);
  /// `tell` once everything appended so far is on disk.
  void when_durable(std::function<void(bool good)> tell);
  void append_fence();
  /// Its bytes in the log.
  std::size_t append_record(const ledger_record& record);
  void serve_append(const std::string& payload, const reply& answer);
  void serve_collect(const std::string& payload, const reply& answer);
  void serve_chain(const std::string& payload, const reply& answer);
  void serve_fence(const std::string& payload, const reply& answer);
  /// Bytes beyond which the log is shortened.
  [[nodiscard]] std::uint64_t longest_log() const;
  void shorten_log();

  boost::asio::io_context& context;
  std::uint64_t most_bytes;
  side_journal beside;
  disk_id id;
  ledger_replica copy;
  /// Nothing, or one whose epoch is the fence or lower.
  std::optional<ledger_set> newest;
  set_epoch copied;
  /// The fence that a restart finds. Lower than the fence while only the store told of a
  /// newer set, which counts for nobody until a joining disk has asked for it.
  set_epoch logged_fence;
  std::uint64_t last_record = 0;
  std::uint64_t durable_record = 0;
  bool broken = false;
  std::deque<waiting_reply> waiting;
  /// Position of a shortening under way; nothing when none is.
  std::optional<copy_request> shortening;
  std::uint64_t keep_from_segment = 0;
  /// Bytes that the last shortening, or the one under way, has written again.
  std::uint64_t rewritten_bytes = 0;
  std::unique_ptr<turn_log> log;
};

}  // namespace hawthornlane::disk

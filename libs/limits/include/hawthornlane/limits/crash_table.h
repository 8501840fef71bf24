// Which requests backend servers have crashed under, and whether such a request may run again. No
// I/O, clock or randomness.
#pragma once

#include <cstddef>
#include <cstdint>
#include <map>
#include <optional>
#include <vector>

#include "hawthornlane/limits/request_fingerprint.h"
#include "hawthornlane/units/ids.h"
#include "hawthornlane/units/quantities.h"

namespace hawthornlane {

/// Hash that identifies one process of a backend server.
using server_process_key = strong_value<struct server_process_key_tag, std::uint64_t>;

/// What is known of the end of one server's process under a request. One value replaces those of
/// lower precedence (`precedence_of`). The numbers are those of messages between hosts.
enum class crash_state : std::uint8_t {
  /// The server does not answer: it has crashed or cannot be reached.
  unconfirmed = 0,
  confirmed = 1,
  /// The server has crashed, and another one has answered the request whole afterwards. The request
  /// may still be the cause.
  excused = 3,
  /// The server has not crashed, the request is not the cause, or an operator has lifted the block.
  cleared = 2,
};

/// From 0, in the order in which states replace each other.
int precedence_of(crash_state state);

struct crash_mark {
  server_process_key server;
  crash_state state = crash_state::unconfirmed;

  friend bool operator==(const crash_mark&, const crash_mark&) = default;
  template <class Archive>
  void serialize(Archive& archive) {
    archive(this->server, this->state);
  }
};

/// The crashes under one request, as hosts report them to each other.
struct crash_report {
  request_fingerprint request;
  std::vector<crash_mark> crashes;
  /// Of the server that crashed last, as far as the reporting host knows.
  software_version version;
  /// Time since the last crash.
  duration age{};

  template <class Archive>
  void serialize(Archive& archive) {
    std::int64_t age_us = this->age.count();
    archive(this->request, this->crashes, this->version, age_us);
    this->age = duration(age_us);
  }
};

/// What crashes say of a request.
enum class crash_standing : std::uint8_t {
  /// No crash, or a whole answer after the last one: the request runs like any other.
  unsuspected,
  /// It may be the cause: each run needs a reservation, and it runs at one server at a time.
  suspected,
  /// `max_crashes` servers have crashed under it: it does not run again.
  blocked,
};

/// Guarantees: reports can be merged in any order and more than once with the same result, as long
/// as none expires. Memory is bounded: beyond `max_requests` the request with the fewest crashes is
/// dropped, among these the oldest one.
class crash_table {
public:
  /// Servers that may crash under one request.
  static constexpr std::size_t max_crashes = 3;
  /// A request's crashes are forgotten this long after the last one.
  static constexpr duration lifetime = std::chrono::minutes(10);
  static constexpr std::size_t max_requests = 1000;
  /// Crashes that are stored of one request; cleared ones are dropped first.
  static constexpr std::size_t max_marks = 32;

  /// Adds what a report says; true if that changes anything.
  bool merge(const crash_report& report, timestamp now);
  [[nodiscard]] crash_standing standing(const request_fingerprint& request) const;
  /// Servers whose crash under the request is not cleared, excused ones included.
  [[nodiscard]] std::vector<server_process_key> crashed_under(
      const request_fingerprint& request) const;
  /// The report on one request; without crashes if none is known.
  [[nodiscard]] crash_report report_of(const request_fingerprint& request, timestamp now) const;
  [[nodiscard]] std::vector<crash_report> reports(timestamp now) const;
  void expire(timestamp now);
  /// Servers that are known or were supposed to have crashed under the request, in any state.
  [[nodiscard]] std::size_t crashes_of(const request_fingerprint& request) const;
  /// What is known of that server's crash under the request.
  [[nodiscard]] std::optional<crash_state> state_of(const request_fingerprint& request,
                                                    server_process_key server) const;
  /// Number of requests with this standing.
  [[nodiscard]] std::size_t count(crash_standing standing) const;
  [[nodiscard]] std::size_t size() const { return this->requests.size(); }
  /// Equal at hosts that know the same; 0 if there is nothing.
  [[nodiscard]] std::uint64_t checksum() const { return this->sum; }

private:
  struct entry {
    /// Invariant: not empty.
    std::map<server_process_key, crash_state> crashes;
    software_version version;
    timestamp last_crash{};
  };

  static std::size_t count(const entry& known, crash_state state);
  static crash_standing standing_of(const entry& known);
  static std::size_t uncleared(const entry& known);
  static std::size_t ended(const entry& known);
  void drop_least();
  static std::uint64_t checksum_of(const request_fingerprint& request, const entry& known);
  void erase(std::map<request_fingerprint, entry>::iterator item);

  std::map<request_fingerprint, entry> requests;
  /// Invariant: combines the checksums of all entries.
  std::uint64_t sum = 0;
};

}  // namespace hawthornlane

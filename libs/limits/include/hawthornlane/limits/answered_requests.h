// Requests that backend servers have answered whole lately. No I/O, clock or randomness.
#pragma once

#include <cstddef>
#include <deque>
#include <map>
#include <utility>

#include "hawthornlane/limits/request_fingerprint.h"
#include "hawthornlane/units/ids.h"
#include "hawthornlane/units/quantities.h"

namespace hawthornlane {

/// A server that crashes under a request which others of its version have just answered has most
/// likely crashed for another reason. Requests with the same content are common, such as polls.
class answered_requests {
public:
  static constexpr duration lifetime = std::chrono::minutes(1);
  static constexpr std::size_t max_requests = 4000;

  void add(const request_fingerprint& request, const software_version& version, timestamp now) {
    const key item{request, version};
    this->last_answers[item] = now;
    this->in_order.emplace_back(now, item);
    this->drop_old(now);
  }

  [[nodiscard]] bool contains(const request_fingerprint& request, const software_version& version,
                              timestamp now) const {
    const auto found = this->last_answers.find({request, version});
    return found != this->last_answers.end() && now - found->second < lifetime;
  }

private:
  using key = std::pair<request_fingerprint, software_version>;

  void drop_old(timestamp now) {
    while (!this->in_order.empty() && (this->in_order.size() > max_requests ||
                                       now - this->in_order.front().first >= lifetime)) {
      const auto& [answered_at, item] = this->in_order.front();
      const auto found = this->last_answers.find(item);
      if (found != this->last_answers.end() && found->second == answered_at) {
        this->last_answers.erase(found);
      }
      this->in_order.pop_front();
    }
  }

  std::map<key, timestamp> last_answers;
  /// Invariant: each entry of `last_answers` is among them with its time.
  std::deque<std::pair<timestamp, key>> in_order;
};

}  // namespace hawthornlane

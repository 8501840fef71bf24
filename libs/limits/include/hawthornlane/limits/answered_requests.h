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
    answers& known = this->answered[item];
    ++known.count;
    known.last = now;
    this->in_order.emplace_back(now, item);
    this->drop_old(now);
  }

  /// How often it was answered within `lifetime`, as far as that is remembered.
  [[nodiscard]] std::size_t count(const request_fingerprint& request,
                                  const software_version& version, timestamp now) const {
    const auto found = this->answered.find({request, version});
    const bool is_known = found != this->answered.end() && now - found->second.last < lifetime;
    return is_known ? found->second.count : 0;
  }
  [[nodiscard]] bool contains(const request_fingerprint& request, const software_version& version,
                              timestamp now) const {
    return this->count(request, version, now) > 0;
  }

private:
  using key = std::pair<request_fingerprint, software_version>;
  struct answers {
    std::size_t count = 0;
    timestamp last{};
  };

  void drop_old(timestamp now) {
    while (!this->in_order.empty() && (this->in_order.size() > max_requests ||
                                       now - this->in_order.front().first >= lifetime)) {
      const auto found = this->answered.find(this->in_order.front().second);
      if (--found->second.count == 0) {
        this->answered.erase(found);
      }
      this->in_order.pop_front();
    }
  }

  std::map<key, answers> answered;
  /// Invariant: contains each entry of `answered` as often as its count says.
  std::deque<std::pair<timestamp, key>> in_order;
};

}  // namespace hawthornlane

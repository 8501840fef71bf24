// Buffers audit entries until the platform has stored them.
#include "hawthornlane/node/audit_log.h"

#include <boost/json.hpp>

namespace hawthornlane {
namespace {
constexpr std::size_t max_pending = 20'000;
}

void audit_log::add(audit_entry entry) {
  const std::lock_guard lock(this->mutex);
  if (this->pending.size() >= max_pending) {
    this->pending.pop_front();
    ++this->dropped_entries;
  }
  this->pending.push_back(std::move(entry));
}

std::vector<audit_entry> audit_log::unstored(std::size_t max_count) const {
  const std::lock_guard lock(this->mutex);
  const std::size_t count = std::min(max_count, this->pending.size());
  return {this->pending.begin(), this->pending.begin() + static_cast<std::ptrdiff_t>(count)};
}

void audit_log::stored(std::size_t count) {
  const std::lock_guard lock(this->mutex);
  count = std::min(count, this->pending.size());
  this->pending.erase(this->pending.begin(),
                      this->pending.begin() + static_cast<std::ptrdiff_t>(count));
}

std::uint64_t audit_log::dropped() const {
  const std::lock_guard lock(this->mutex);
  return this->dropped_entries;
}

std::string to_json_line(const audit_entry& entry) {
  const boost::json::object fields{{"at_ms", entry.at_ms},     {"host", entry.host},
                                   {"who", entry.who},         {"what", entry.what},
                                   {"subject", entry.subject}, {"before", entry.before},
                                   {"after", entry.after},     {"result", entry.result}};
  return boost::json::serialize(fields);
}

}  // namespace hawthornlane

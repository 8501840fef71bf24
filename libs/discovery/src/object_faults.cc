// Logs each unreadable object of the platform's store once.
#include "hawthornlane/discovery/object_faults.h"

#include "hawthornlane/telemetry/log.h"

namespace hawthornlane::discovery {

void object_faults::note(platform_adapter::object_kind kind,
                         const std::vector<platform_adapter::object_fault>& found) {
  std::set<known_fault> current;
  std::set<known_fault>& before = this->known[kind];
  for (const platform_adapter::object_fault& fault : found) {
    known_fault item{fault.name.substr(0, max_name_length), fault.detail};
    if (current.size() >= max_tracked) {
      break;
    }
    const auto [kept, is_new] = current.insert(std::move(item));
    if (!is_new || before.contains(*kept)) {
      continue;
    }
    ++this->logged;
    log(event::object_malformed, {{"kind", std::string(path_of(kind))},
                                  {"name", kept->name},
                                  {"revision", std::to_string(fault.revision.get())},
                                  {"detail", kept->detail}});
  }
  before = std::move(current);
}

}  // namespace hawthornlane::discovery

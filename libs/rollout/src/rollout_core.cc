// Adopting document generations.
#include "hawthornlane/rollout/rollout_core.h"

#include <xxhash.h>

namespace hawthornlane {

offer_outcome rollout_core::offer(const service_name& service, generation at,
                                  const std::string& text, timestamp now) {
  const auto found = this->in_force.find(service);
  if (found == this->in_force.end()) {
    this->in_force.emplace(service, document_in_force{at, text, now});
    return offer_outcome::adopted;
  }
  document_in_force& current = found->second;
  if (at < current.at) {
    return offer_outcome::older_ignored;
  }
  if (at == current.at) {
    return text == current.text ? offer_outcome::already_in_force
                                : offer_outcome::conflicting_ignored;
  }
  current = {at, text, now};
  return offer_outcome::adopted;
}

std::uint64_t rollout_core::digest() const {
  // A sum, so that the order of adoption does not matter.
  std::uint64_t sum = 0;
  for (const auto& [service, document] : this->in_force) {
    const std::string marked = service.get() + "\n" + std::to_string(document.at.get()) + "\n";
    const std::uint64_t seed = XXH3_64bits(marked.data(), marked.size());
    sum += XXH3_64bits_withSeed(document.text.data(), document.text.size(), seed);
  }
  return sum;
}

std::vector<service_name> rollout_core::newer_than(
    const std::map<service_name, generation>& theirs) const {
  std::vector<service_name> services;
  for (const auto& [service, document] : this->in_force) {
    const auto found = theirs.find(service);
    if (found == theirs.end() || found->second < document.at) {
      services.push_back(service);
    }
  }
  return services;
}

}  // namespace hawthornlane

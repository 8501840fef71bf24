// Selects the route of a call.
#include "hawthornlane/fleet/route_table.h"

#include <algorithm>
#include <cctype>

namespace hawthornlane {
namespace {

std::string lower(std::string_view text) {
  std::string out(text);
  std::transform(out.begin(), out.end(), out.begin(),
                 [](unsigned char letter) { return static_cast<char>(std::tolower(letter)); });
  return out;
}

}  // namespace

route_table::route_table(configuration source) : config(std::move(source)) {
  for (const route& item : this->config.routes) {
    this->by_host[lower(item.host_name)][item.path_prefix] = &item;
  }
}

const route* route_table::find(std::string_view host_name, std::string_view path) const {
  const auto host = this->by_host.find(lower(host_name));
  if (host == this->by_host.end()) {
    return nullptr;
  }
  // Prefixes end with a slash, so try each slash of the path, the last one first.
  std::string_view prefix = path.substr(0, path.find('?'));
  while (true) {
    const std::size_t slash = prefix.rfind('/');
    if (slash == std::string_view::npos) {
      return nullptr;
    }
    prefix = prefix.substr(0, slash + 1);
    const auto found = host->second.find(prefix);
    if (found != host->second.end()) {
      return found->second;
    }
    prefix.remove_suffix(1);
  }
}

const service_name& route_table::choose_service(const route& from, std::uint64_t group_hash) {
  std::uint64_t total = 0;
  for (const weighted_service& item : from.services) {
    total += item.weight;
  }
  std::uint64_t left = total == 0 ? 0 : group_hash % total;
  for (const weighted_service& item : from.services) {
    if (left < item.weight) {
      return item.service;
    }
    left -= item.weight;
  }
  return from.services.front().service;
}

const service* route_table::find_service(const service_name& name) const {
  const auto found = this->config.services.find(name);
  return found == this->config.services.end() ? nullptr : &found->second;
}

}  // namespace hawthornlane

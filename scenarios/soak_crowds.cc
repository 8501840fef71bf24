// Crowds of clients that don't behave, during a fault soak.
#include <fmt/format.h>

#include "soak_faults.h"

namespace hawthornlane::scenarios {

namespace {

/// Smaller than in the tests: all that a crowd sends takes processor time from the soak itself.
constexpr crowd_size usual_crowd{12, 60, std::size_t{256} * 1024};
constexpr crowd_size large_crowd{32, 200, std::size_t{1024} * 1024};

}  // namespace

void soak_faults::send_crowds(net::steady_time now) {
  if (now < this->next_crowd) {
    return;
  }
  const auto between = [this](int least, int most) {
    return std::uniform_int_distribution<int>(least, most)(this->crowd_random);
  };
  const bool first = this->next_crowd == net::steady_time{};
  const bool often = this->choice == fault_choice::crowds;
  this->next_crowd =
      now + std::chrono::milliseconds(often ? between(300, 1200) : between(2000, 6000));
  const auto kinds = all_crowd_kinds();
  const crowd_kind kind =
      kinds[static_cast<std::size_t>(between(0, static_cast<int>(kinds.size()) - 1))];
  const bool at_disk = between(0, 5) == 0;
  const bool at_all = between(0, 3) == 0;
  std::vector<soak_host>& hosts = at_disk ? this->fleet.disks : this->fleet.fronts;
  const auto chosen = static_cast<std::size_t>(between(0, 1000)) % hosts.size();
  // Most crowds come to the port for calls.
  const auto port = static_cast<std::size_t>(std::max(between(-3, 3), 0));
  const std::chrono::milliseconds lasts(often ? between(800, 3000) : between(300, 1500));
  if (first || !(often || (this->plays_all() && !this->maintenance_only))) {
    return;
  }
  std::vector<std::shared_ptr<client_crowd>> crowds;
  for (std::size_t number = 0; number < hosts.size(); ++number) {
    if (!at_all && number != chosen) {
      continue;
    }
    const auto ports = soak_fleet::client_ports(hosts[number]);
    // No route has this path, so a whole request of a crowd runs at no server.
    crowd_target target{ports[port % ports.size()], "/crowd/x", "a.example"};
    target.body_bytes = this->fleet.max_body_bytes();
    target.head_bytes = 4096;
    crowds.push_back(this->fleet.begin_crowd(kind, target, often ? large_crowd : usual_crowd));
  }
  ++this->begun["crowds of clients"];
  this->note(now, fmt::format("crowd {} at port {} of {} ({} ms)", name_of(kind), port,
                              at_all ? "all hosts" : hosts[chosen].name, lasts.count()));
  this->active.push_back({"crowd", false, now + lasts,
                          [crowds] {
                            for (const auto& crowd : crowds) {
                              crowd->leave();
                            }
                          },
                          true, true});
}

}  // namespace hawthornlane::scenarios

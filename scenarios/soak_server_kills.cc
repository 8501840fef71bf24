// Backend servers that are killed during a fault soak.
#include <fmt/format.h>

#include "soak_faults.h"

namespace hawthornlane::scenarios {

void soak_faults::kill_servers(net::steady_time now) {
  if (now < this->next_kill) {
    return;
  }
  const auto between = [this](int min, int max) {
    return std::uniform_int_distribution<int>(min, max)(this->kill_random);
  };
  const bool first = this->next_kill == net::steady_time{};
  this->next_kill = now + std::chrono::milliseconds(between(300, 1500));
  const std::size_t count = this->fleet.backends.size();
  std::size_t number = static_cast<std::size_t>(between(0, 1000)) % count;
  for (std::size_t passed = 0; passed < count && !this->fleet.backends[number].process; ++passed) {
    number = (number + 1) % count;
  }
  // A stream of a model server takes about 40 ms, a body of an application server 4 ms.
  const bool is_quick = this->fleet.backends[number].service == "apps";
  const std::chrono::milliseconds delay(between(0, is_quick ? 8 : 45));
  if (first || !this->plays_all() || this->maintenance_only) {
    return;
  }
  const std::string instance = this->fleet.backends[number].server->instance();
  if (!this->fleet.kill_server_in_response(number, delay)) {
    return;
  }
  ++this->begun["servers that are killed"];
  this->note(now,
             fmt::format("{} is killed {} ms after its next request", instance, delay.count()));
}

void soak_faults::end_streams_early(net::steady_time now) {
  if (now < this->next_early_end) {
    return;
  }
  const auto between = [this](int min, int max) {
    return std::chrono::milliseconds(
        std::uniform_int_distribution<int>(min, max)(this->early_end_random));
  };
  const bool first = this->next_early_end == net::steady_time{};
  const auto lasts = between(300, 1000);
  this->next_early_end = now + lasts + between(300, 2000);
  if (first || this->choice != fault_choice::early_ends || this->maintenance_only) {
    return;
  }
  this->fleet.set_early_ends(true);
  ++this->begun["connections that end early"];
  this->note(now, fmt::format("model servers close connections early ({} ms)", lasts.count()));
  this->active.push_back({"connections that end early", false, now + lasts,
                          [this] { this->fleet.set_early_ends(false); }, true, false});
}

}  // namespace hawthornlane::scenarios

// The clients of a process: their registry, the limits, and what is reported of them.
#include "hawthornlane/overload/process_clients.h"

#include "hawthornlane/telemetry/log.h"

namespace hawthornlane::overload {

void process_clients::tick() {
  const refusal_counts now = this->clients->refusals();
  for (std::size_t number = 0; number < now.size(); ++number) {
    const std::uint64_t count = now.at(number) - this->logged.at(number);
    if (count == 0) {
      continue;
    }
    log(event::clients_refused, {{"cause", name_of(static_cast<refusal_cause>(number))},
                                 {"count", std::to_string(count)},
                                 {"held_bytes", std::to_string(this->clients->held_bytes())},
                                 {"connections", std::to_string(this->clients->connections())}});
  }
  this->logged = now;
  this->memory_release.tick(this->clients->take_peak_bytes(), this->clients->held_bytes());
}

void process_clients::add_metrics(
    const std::function<void(const std::string& name, std::uint64_t value)>& add) const {
  add("client_bytes_held", this->clients->held_bytes());
  add("client_connections", this->clients->connections());
  const refusal_counts now = this->clients->refusals();
  for (std::size_t number = 0; number < now.size(); ++number) {
    const std::string cause = name_of(static_cast<refusal_cause>(number));
    add("clients_refused_" + cause, now.at(number));
  }
}

}  // namespace hawthornlane::overload

// Faults of a soak's backend servers in what they respond.
#include <fmt/format.h>

#include "soak_faults.h"

namespace hawthornlane::scenarios {

void soak_faults::send_endless_responses(net::steady_time now) {
  if (now < this->next_endless) {
    return;
  }
  const auto between = [this](int least, int most) {
    return std::uniform_int_distribution<int>(least, most)(this->endless_random);
  };
  const bool first = this->next_endless == net::steady_time{};
  const bool often = this->choice == fault_choice::endless;
  this->next_endless =
      now + std::chrono::milliseconds(often ? between(200, 800) : between(1500, 5000));
  const auto& parts = stand_ins::all_endless_parts;
  stand_ins::endless_response what;
  what.part = parts.at(static_cast<std::size_t>(between(0, static_cast<int>(parts.size()) - 1)));
  what.is_quick = between(0, 2) > 0;
  const auto number = static_cast<std::size_t>(between(0, 1000)) % this->fleet.backends.size();
  const auto lasts = std::chrono::milliseconds(often ? between(1000, 4000) : between(300, 1500));
  if (first || (this->maintenance_only && !often)) {
    return;
  }
  const std::string instance = this->fleet.backends[number].server->instance();
  const auto set = [this, instance](std::optional<stand_ins::endless_response> response) {
    this->fleet.set_endless_response(instance, response);
  };
  set(what);
  ++this->begun["responses without an end"];
  this->note(now, fmt::format("{} sends {} without an end, {} ({} ms)", instance,
                              name_of(what.part), what.is_quick ? "quick" : "slow", lasts.count()));
  this->active.push_back(
      {"endless responses", false, now + lasts, [set] { set(std::nullopt); }, true, true});
}

void soak_faults::send_invalid_responses(net::steady_time now) {
  if (now < this->next_invalid) {
    return;
  }
  const auto between = [this](int least, int most) {
    return std::uniform_int_distribution<int>(least, most)(this->invalid_random);
  };
  const bool first = this->next_invalid == net::steady_time{};
  this->next_invalid = now + std::chrono::milliseconds(between(1500, 5000));
  const auto kinds = stand_ins::invalid_responses();
  invalid_response_choice chosen;
  chosen.what = kinds[static_cast<std::size_t>(between(0, static_cast<int>(kinds.size()) - 1))];
  chosen.framing = stand_ins::all_response_framings[between(0, 2)];
  for (const auto framing : stand_ins::all_response_framings) {
    chosen.framing = has_framing(chosen.what, chosen.framing) ? chosen.framing : framing;
  }
  chosen.pieces = static_cast<stand_ins::response_pieces>(between(0, 2));
  chosen.closes =
      between(0, 1) == 0 || chosen.framing == stand_ins::response_framing::connection_end;
  const auto number = static_cast<std::size_t>(between(0, 1000)) % this->fleet.backends.size();
  const auto lasts = std::chrono::milliseconds(between(300, 1500));
  if (first || this->maintenance_only) {
    return;
  }
  const std::string instance = this->fleet.backends[number].server->instance();
  this->fleet.set_invalid_response(instance, chosen);
  ++this->begun["responses that HTTP does not allow"];
  this->note(now, fmt::format("{} sends {}, {} ({} ms)", instance, chosen.what.name,
                              name_of(chosen.framing), lasts.count()));
  const auto end = [this, instance] { this->fleet.set_invalid_response(instance, std::nullopt); };
  this->active.push_back({"invalid responses", false, now + lasts, end, true, true});
}

void soak_faults::send_early_responses(net::steady_time now) {
  if (now < this->next_early_response) {
    return;
  }
  const auto between = [this](int least, int most) {
    return std::uniform_int_distribution<int>(least, most)(this->early_response_random);
  };
  const bool first = this->next_early_response == net::steady_time{};
  const bool often = this->choice == fault_choice::uploads;
  this->next_early_response =
      now + std::chrono::milliseconds(often ? between(200, 800) : between(1500, 5000));
  constexpr int most_bytes = 40'000;
  early_response_choice chosen;
  chosen.body_size = static_cast<std::size_t>(between(0, 1) == 0 ? 12 : most_bytes);
  chosen.ending =
      between(0, 1) == 0 ? stand_ins::early_ending::reset : stand_ins::early_ending::close_unread;
  chosen.pause = std::chrono::milliseconds(between(0, 1) * between(1, 40));
  chosen.is_1_0 = between(0, 1) == 0;
  const auto number = static_cast<std::size_t>(between(0, 1000)) % this->fleet.backends.size();
  const auto lasts = std::chrono::milliseconds(between(300, 1500));
  if (first || (this->maintenance_only && !often)) {
    return;
  }
  const std::string instance = this->fleet.backends[number].server->instance();
  this->fleet.set_early_response(instance, chosen);
  ++this->begun["responses reset before the request is read"];
  this->note(now, fmt::format("{} responds early with {} bytes, {} ({} ms)", instance,
                              chosen.body_size, name_of(chosen.ending), lasts.count()));
  const auto end = [this, instance] { this->fleet.set_early_response(instance, std::nullopt); };
  this->active.push_back({"early responses", false, now + lasts, end, true, true});
}

}  // namespace hawthornlane::scenarios

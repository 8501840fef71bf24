// The product's scheduler and the baseline policies.
#include "policy.h"

#include <algorithm>
#include <map>
#include <utility>

namespace hawthornlane::bench {
namespace {

backend_server_id server_id(std::size_t server) {
  return backend_server_id("server-" + std::to_string(1000 + server));
}

std::size_t server_number(const backend_server_id& id) {
  return std::stoul(id.get().substr(7)) - 1000;
}

program_id program_name(std::uint64_t program) { return program_id("p" + std::to_string(program)); }

timestamp at(double seconds) { return timestamp(from_seconds(seconds)); }

/// Baselines dispatch at once; calls wait in the engine's own queue.
class baseline : public policy {
public:
  explicit baseline(std::size_t count) : servers(count), available(count, true) {}

  std::vector<bench_decision> submit(const bench_call& call) override {
    std::size_t chosen = this->choose(call);
    for (std::size_t step = 0; step < this->servers && !this->available[chosen]; ++step) {
      chosen = (chosen + 1) % this->servers;
    }
    this->last[call.program] = chosen;
    return {{call.id, chosen}};
  }
  std::vector<bench_decision> finished(const bench_outcome&, double) override { return {}; }
  std::vector<std::size_t> ended(std::uint64_t program) override {
    this->last.erase(program);
    return {};
  }
  void server_listed(std::size_t server, bool is_there, double) override {
    this->available[server] = is_there;
  }

protected:
  virtual std::size_t choose(const bench_call& call) = 0;

  std::size_t servers;
  std::vector<bool> available;
  std::map<std::uint64_t, std::size_t> last;
};

class round_robin final : public baseline {
public:
  using baseline::baseline;

protected:
  std::size_t choose(const bench_call&) override { return this->next++ % this->servers; }

private:
  std::size_t next = 0;
};

/// Chooses by the reported load plus the calls sent since the report.
class least_loaded : public baseline {
public:
  explicit least_loaded(std::size_t count) : baseline(count), load(count, 0) {}
  void report(std::size_t server, std::size_t reported) override {
    this->load[server] = static_cast<double>(reported);
  }

protected:
  std::size_t choose(const bench_call&) override {
    std::size_t best = this->servers;
    for (std::size_t server = 0; server < this->servers; ++server) {
      const bool better = this->available[server] &&
                          (best == this->servers || this->load[server] < this->load[best]);
      best = better ? server : best;
    }
    best = best == this->servers ? 0 : best;
    this->load[best] += 1;
    return best;
  }

  std::vector<double> load;
};

/// Chooses the server of the program's last call; for its first, the least loaded one.
class affinity final : public least_loaded {
public:
  using least_loaded::least_loaded;
  void restart() override { this->last.clear(); }

protected:
  std::size_t choose(const bench_call& call) override {
    const auto found = this->last.find(call.program);
    if (found == this->last.end()) {
      return least_loaded::choose(call);
    }
    this->load[found->second] += 1;
    return found->second;
  }
};

class product_policy final : public policy {
public:
  product_policy(std::size_t count, policy_features chosen) : servers(count), features(chosen) {
    this->make();
  }

  std::vector<bench_decision> submit(const bench_call& call) override {
    schedule_request request;
    request.id = waiting_id(call.id);
    request.program = program_name(call.program);
    request.account = client_account(std::to_string(call.account));
    request.prompt = token_count(call.prompt);
    request.history = token_count(call.history);
    request.expected_answer = token_count(static_cast<std::int64_t>(this->mean_answer));
    request.attained = call.attained;
    request.arrived = at(call.now);
    request.began = at(call.began);
    return to_bench_decisions(this->core->submit(request, at(call.now)));
  }

  std::vector<bench_decision> finished(const bench_outcome& outcome, double now) override {
    schedule_outcome ended;
    ended.id = waiting_id(outcome.id);
    ended.failed = outcome.failed;
    ended.sample.prefilled = token_count(outcome.prefilled);
    ended.sample.answered = token_count(outcome.answered);
    ended.sample.first_token = from_seconds(outcome.first_token);
    ended.sample.whole = from_seconds(outcome.whole);
    constexpr double share = 0.02;
    if (!outcome.failed) {
      this->mean_answer += share * (static_cast<double>(outcome.answered) - this->mean_answer);
    }
    return to_bench_decisions(this->core->finished(ended, at(now)));
  }

  void first_token(std::uint64_t id) override { this->core->first_token(waiting_id(id)); }

  std::vector<std::size_t> ended(std::uint64_t program) override {
    const auto holder = this->core->forget(program_name(program));
    return holder ? std::vector<std::size_t>{server_number(*holder)} : std::vector<std::size_t>{};
  }

  std::vector<bench_decision> tick(double now) override {
    std::vector<bench_decision> out = std::exchange(this->reassigned, {});
    const std::vector<bench_decision> due = to_bench_decisions(this->core->tick(at(now)));
    out.insert(out.end(), due.begin(), due.end());
    return out;
  }

  std::vector<std::uint64_t> take_given_up() override {
    std::vector<std::uint64_t> out;
    for (const waiting_id id : this->core->take_given_up()) {
      out.push_back(id.get());
    }
    return out;
  }

  void restart() override { this->core->forget_all(); }

  void server_listed(std::size_t server, bool available, double now) override {
    if (available) {
      this->core->add_server(server_id(server), at(now));
    } else {
      this->reassigned = to_bench_decisions(this->core->remove_server(server_id(server), at(now)));
    }
  }

private:
  void make() {
    this->core = std::make_unique<scheduler>(window_limits{}, scheduler_settings{}, this->features);
    for (std::size_t server = 0; server < this->servers; ++server) {
      this->core->add_server(server_id(server), timestamp{});
    }
  }
  static std::vector<bench_decision> to_bench_decisions(
      const std::vector<schedule_decision>& decisions) {
    std::vector<bench_decision> out;
    out.reserve(decisions.size());
    for (const schedule_decision& item : decisions) {
      out.push_back({item.id.get(), server_number(item.server)});
    }
    return out;
  }

  std::size_t servers;
  policy_features features;
  std::unique_ptr<scheduler> core;
  double mean_answer = 200;
  /// Calls of a removed server that were placed elsewhere; sent with the next tick.
  std::vector<bench_decision> reassigned;
};

const std::map<std::string, bool policy_features::*>& feature_flags() {
  static const std::map<std::string, bool policy_features::*> table{
      {"window", &policy_features::window},
      {"program-order", &policy_features::program_order},
      {"ageing", &policy_features::ageing},
      {"predicted-choice", &policy_features::predicted_choice},
      {"stealing", &policy_features::stealing},
      {"working-set", &policy_features::working_set},
      {"fair-accounts", &policy_features::fair_accounts},
      {"exclude-failing", &policy_features::exclude_failing}};
  return table;
}

}  // namespace

std::vector<std::string> policy_names() {
  std::vector<std::string> names{"round-robin", "least-loaded", "affinity", "hawthornlane"};
  for (const auto& [name, part] : feature_flags()) {
    names.push_back("hawthornlane-" + name);
  }
  return names;
}

std::unique_ptr<policy> make_policy(const std::string& name, std::size_t servers) {
  if (name == "round-robin") {
    return std::make_unique<round_robin>(servers);
  }
  if (name == "least-loaded") {
    return std::make_unique<least_loaded>(servers);
  }
  if (name == "affinity") {
    return std::make_unique<affinity>(servers);
  }
  policy_features features;
  if (name == "hawthornlane") {
    return std::make_unique<product_policy>(servers, features);
  }
  const std::string prefix = "hawthornlane-";
  const auto found = name.starts_with(prefix) ? feature_flags().find(name.substr(prefix.size()))
                                              : feature_flags().end();
  if (found == feature_flags().end()) {
    return nullptr;
  }
  // Inverts the named feature: `predicted-choice` is off by default and is switched on, any other
  // is switched off.
  features.*(found->second) = !(features.*(found->second));
  return std::make_unique<product_policy>(servers, features);
}

}  // namespace hawthornlane::bench

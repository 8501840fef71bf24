// Locks around the schedulers.
#include "hawthornlane/node/model_queue.h"

namespace hawthornlane {

scheduler& model_queue::scheduler_for(const model_name& model) {
  std::unique_ptr<scheduler>& found = this->schedulers[model];
  if (!found) {
    found = std::make_unique<scheduler>(window_limits{}, scheduler_settings{}, policy_features{});
  }
  return *found;
}

void model_queue::carry_out(const std::vector<schedule_decision>& decisions) const {
  for (const schedule_decision& decision : decisions) {
    this->start(decision);
  }
}

void model_queue::server_listed(const model_name& model, const backend_server_id& server,
                                bool present, timestamp now) {
  std::vector<schedule_decision> decisions;
  {
    const std::lock_guard lock(this->mutex);
    scheduler& pool = this->scheduler_for(model);
    if (present) {
      pool.add_server(server, now);
      decisions = pool.tick(now);
    } else {
      decisions = pool.remove_server(server, now);
    }
  }
  this->carry_out(decisions);
}

void model_queue::submit(const model_name& model, const schedule_request& request, timestamp now) {
  std::vector<schedule_decision> decisions;
  {
    const std::lock_guard lock(this->mutex);
    decisions = this->scheduler_for(model).submit(request, now);
  }
  this->carry_out(decisions);
}

void model_queue::cancel(const model_name& model, waiting_id id, timestamp now) {
  std::vector<schedule_decision> decisions;
  {
    const std::lock_guard lock(this->mutex);
    decisions = this->scheduler_for(model).cancel(id, now);
  }
  this->carry_out(decisions);
}

void model_queue::finished(const model_name& model, const schedule_outcome& outcome,
                           timestamp now) {
  std::vector<schedule_decision> decisions;
  {
    const std::lock_guard lock(this->mutex);
    decisions = this->scheduler_for(model).finished(outcome, now);
  }
  this->carry_out(decisions);
}

void model_queue::first_token(const model_name& model, waiting_id id) {
  const std::lock_guard lock(this->mutex);
  this->scheduler_for(model).first_token(id);
}

std::optional<backend_server_id> model_queue::forget(const program_id& program) {
  const std::lock_guard lock(this->mutex);
  for (const auto& [model, pool] : this->schedulers) {
    if (auto server = pool->forget(program)) {
      return server;
    }
  }
  return std::nullopt;
}

void model_queue::tick(timestamp now) {
  std::vector<schedule_decision> decisions;
  std::vector<waiting_id> given_up;
  {
    const std::lock_guard lock(this->mutex);
    for (const auto& [model, pool] : this->schedulers) {
      const auto more = pool->tick(now);
      decisions.insert(decisions.end(), more.begin(), more.end());
      const auto hung = pool->take_given_up();
      given_up.insert(given_up.end(), hung.begin(), hung.end());
    }
  }
  this->carry_out(decisions);
  for (const waiting_id id : given_up) {
    this->give_up(id);
  }
}

double model_queue::predicted_wait(const model_name& model) const {
  const std::lock_guard lock(this->mutex);
  const auto found = this->schedulers.find(model);
  return found == this->schedulers.end() ? 0 : found->second->predicted_wait();
}

bool model_queue::has_servers(const model_name& model) const {
  const std::lock_guard lock(this->mutex);
  const auto found = this->schedulers.find(model);
  return found != this->schedulers.end() && found->second->has_servers();
}

std::size_t model_queue::waiting() const {
  const std::lock_guard lock(this->mutex);
  std::size_t count = 0;
  for (const auto& [model, pool] : this->schedulers) {
    count += pool->waiting();
  }
  return count;
}

}  // namespace hawthornlane

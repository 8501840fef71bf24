// The schedulers of all models on this host.
#pragma once

#include <functional>
#include <map>
#include <memory>
#include <mutex>
#include <vector>

#include "hawthornlane/routing/scheduler.h"

namespace hawthornlane {

/// A thread-safe wrapper around one scheduler per model. Decisions go to the `on_start`
/// hook, which is called without the lock held.
class model_queue {
public:
  using start_hook = std::function<void(const schedule_decision&)>;
  using given_up_hook = std::function<void(waiting_id)>;

  model_queue(start_hook on_start, given_up_hook on_given_up)
      : start(std::move(on_start)), give_up(std::move(on_given_up)) {}

  /// Adds a server that the platform lists; `present` is false for one to remove.
  void server_listed(const model_name& model, const backend_server_id& server, bool present,
                     timestamp now);
  void submit(const model_name& model, const schedule_request& request, timestamp now);
  void cancel(const model_name& model, waiting_id id, timestamp now);
  void finished(const model_name& model, const schedule_outcome& outcome, timestamp now);
  void first_token(const model_name& model, waiting_id id);
  /// Forgets the program and returns the server that holds its cached prefix, if any.
  std::optional<backend_server_id> forget(const program_id& program);
  /// Takes hung servers out of use, and recovered ones into use again. Call about once a second.
  void tick(timestamp now);
  /// Predicted wait of a new call, seconds.
  [[nodiscard]] double predicted_wait(const model_name& model) const;
  [[nodiscard]] bool has_servers(const model_name& model) const;
  [[nodiscard]] std::size_t waiting() const;

private:
  scheduler& scheduler_for(const model_name& model);
  void carry_out(const std::vector<schedule_decision>& decisions) const;

  start_hook start;
  given_up_hook give_up;
  mutable std::mutex mutex;
  std::map<model_name, std::unique_ptr<scheduler>> schedulers;
};

}  // namespace hawthornlane

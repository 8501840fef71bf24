// Runs shard cores and carries out the actions that they return.
#include "hawthornlane/node/shard_table.h"

namespace hawthornlane {

shard_table::shard_table(std::uint32_t count, const host_incarnation& self, ownership_times times) {
  for (std::uint32_t shard = 0; shard < count; ++shard) {
    this->slots.push_back(std::make_unique<slot>(shard_id(shard), self, times));
  }
}

void shard_table::change(shard_id shard, const std::function<actions(shard_core&)>& change) {
  slot& target = *this->slots.at(shard.get());
  const std::lock_guard lock(target.mutex);
  actions todo = change(target.core);
  // Without an action the history is unchanged, because every change of a history returns at least
  // one. So there is nothing to check.
  if (todo.empty()) {
    return;
  }
  this->carry_out(shard, std::move(todo));
  this->report_broken(shard, target.core.broken_invariant_in_newest_turns());
}

void shard_table::check_next() {
  const shard_id shard(this->next_check++ % this->size());
  this->read(shard, [this, shard](const shard_core& core) {
    this->report_broken(shard, core.broken_invariant());
  });
}

void shard_table::report_broken(shard_id shard, const std::string& broken) const {
  if (!broken.empty()) {
    this->hooks.broken(shard, broken);
  }
}

void shard_table::read(shard_id shard, const std::function<void(const shard_core&)>& read) const {
  slot& target = *this->slots.at(shard.get());
  const std::lock_guard lock(target.mutex);
  read(target.core);
}

void shard_table::read_all(const std::function<void(const shard_core&)>& read) const {
  for (std::uint32_t shard = 0; shard < this->size(); ++shard) {
    this->read(shard_id(shard), read);
  }
}

void shard_table::carry_out(shard_id shard, actions todo) const {
  for (action& item : todo) {
    if (const auto* message = std::get_if<send_message>(&item)) {
      this->hooks.send(shard, *message);
    } else if (const auto* proposal = std::get_if<propose_assignment>(&item)) {
      this->hooks.propose(shard, *proposal);
    } else if (const auto* order = std::get_if<dispatch_call>(&item)) {
      this->hooks.dispatch(shard, *order);
    } else if (auto* answer = std::get_if<answer_call>(&item)) {
      this->hooks.answer(answer->call, std::move(answer->answer));
    } else if (const auto* change = std::get_if<role_changed>(&item)) {
      this->hooks.role(shard, *change);
    } else if (const auto* release = std::get_if<release_program>(&item)) {
      this->hooks.release(*release);
    }
  }
}

}  // namespace hawthornlane

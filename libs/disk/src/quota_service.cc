// Keeping of client accounts' quotas at a disk host.
#include "hawthornlane/disk/quota_service.h"

#include <utility>

#include "hawthornlane/discovery/fleet_state.h"
#include "hawthornlane/net/message_bytes.h"

namespace hawthornlane::disk {

namespace {

std::string_view name_of(quota_verdict verdict) {
  switch (verdict) {
    case quota_verdict::granted:
      return "granted";
    case quota_verdict::refused:
      return "refused";
    case quota_verdict::not_kept:
      return "not_kept";
  }
  return "";
}

}  // namespace

quota_service::quota_service(quota_rules rules, quota_hooks with)
    : hooks(std::move(with)), keeper(rules) {}

side_journal quota_service::journal() {
  side_journal journal;
  journal.replay = [this](const std::string& bytes) {
    if (const auto record = from_bytes<quota_record>(bytes)) {
      this->keeper.restore(*record);
    }
  };
  journal.whole = [this] { return to_bytes(this->keeper.whole(discovery::scheduler_now())); };
  return journal;
}

void quota_service::serve(const std::string& payload, const net::rpc_reply& reply) {
  auto told = from_bytes_with_tail<quota_question, std::optional<quota_program>>(payload);
  if (!told) {
    reply(std::nullopt);
    return;
  }
  quota_question& question = told->first;
  question.program = told->second;
  quota_answer answer;
  if (this->hooks.holds_lease()) {
    answer = this->keeper.ask(question, discovery::scheduler_now());
  }
  this->hooks.count("quota_" + std::string(name_of(answer.verdict)));
  if (answer.verdict != quota_verdict::granted || !question.limit.limits()) {
    reply(to_bytes(answer));
    return;
  }
  this->unwritten.push_back([reply, bytes = to_bytes(answer)](bool good) {
    reply(good ? std::optional(bytes) : std::nullopt);
  });
  this->write_grants();
}

void quota_service::write_grants() {
  if (this->writing || this->unwritten.empty()) {
    return;
  }
  this->writing = true;
  const std::string record = to_bytes(this->keeper.take_changes(discovery::scheduler_now()));
  this->hooks.append(record, [this, told = std::exchange(this->unwritten, {})](bool good) {
    for (const auto& tell : told) {
      tell(good);
    }
    this->writing = false;
    this->write_grants();
  });
}

void quota_service::keep(double part) { this->keeper.keep(part, discovery::scheduler_now()); }

void quota_service::forget_idle() { this->keeper.forget_idle(discovery::scheduler_now()); }

}  // namespace hawthornlane::disk

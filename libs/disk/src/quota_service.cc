// Client accounts' quotas at a disk host.
#include "hawthornlane/disk/quota_service.h"

#include <utility>

#include "hawthornlane/discovery/fleet_state.h"
#include "hawthornlane/net/message_bytes.h"

namespace hawthornlane::disk {

namespace {

std::string_view name_of(quota_outcome outcome) {
  switch (outcome) {
    case quota_outcome::granted:
      return "granted";
    case quota_outcome::refused:
      return "refused";
    case quota_outcome::not_kept:
      return "not_kept";
  }
  return "";
}

}  // namespace

quota_service::quota_service(quota_tolerance rules, quota_hooks with)
    : hooks(std::move(with)), manager(rules) {}

side_journal quota_service::journal() {
  side_journal journal;
  journal.replay = [this](const std::string& bytes) {
    if (const auto record = from_bytes<quota_record>(bytes)) {
      this->manager.restore(*record);
    }
  };
  journal.whole = [this] { return to_bytes(this->manager.whole(discovery::scheduler_now())); };
  return journal;
}

void quota_service::serve(const std::string& payload, const net::rpc_reply& reply) {
  auto told = from_bytes_with_tail<quota_request, std::optional<quota_program>>(payload);
  if (!told) {
    reply(std::nullopt);
    return;
  }
  quota_request& request = told->first;
  request.program = told->second;
  quota_response answer;
  if (this->hooks.holds_lease()) {
    answer = this->manager.ask(request, discovery::scheduler_now());
  }
  this->hooks.count("quota_" + std::string(name_of(answer.outcome)));
  if (answer.outcome != quota_outcome::granted || !request.limit.limits()) {
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
  const std::string record = to_bytes(this->manager.take_changes(discovery::scheduler_now()));
  this->hooks.append(record, [this, told = std::exchange(this->unwritten, {})](bool good) {
    for (const auto& notify : told) {
      notify(good);
    }
    this->writing = false;
    this->write_grants();
  });
}

void quota_service::set_share(double share) {
  this->manager.set_share(share, discovery::scheduler_now());
}

void quota_service::forget_idle() { this->manager.forget_idle(discovery::scheduler_now()); }

}  // namespace hawthornlane::disk

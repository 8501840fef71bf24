// Applies, adopts and looks up service documents.
#include "hawthornlane/node/document_registry.h"

#include <boost/json.hpp>
#include <tuple>

#include "hawthornlane/telemetry/log.h"

namespace hawthornlane {
namespace asio = boost::asio;
namespace json = boost::json;

namespace {

const std::string key_prefix = "documents/";
constexpr int store_attempts = 5;

/// A document object as stored in the platform.
struct stored_document {
  generation at;
  std::string text;
  std::string who;
  std::string change_id;
  std::int64_t at_ms = 0;
};

std::string to_json(const stored_document& document) {
  return json::serialize(json::object{{"generation", document.at.get()},
                                      {"text", document.text},
                                      {"who", document.who},
                                      {"change_id", document.change_id},
                                      {"at_ms", document.at_ms}});
}

std::optional<stored_document> parse_stored_document(const std::string& value) {
  try {
    const json::value parsed = json::parse(value);
    const json::object& fields = parsed.as_object();
    stored_document document;
    document.at = generation(fields.at("generation").to_number<std::uint64_t>());
    document.text = std::string(fields.at("text").as_string());
    document.who = std::string(fields.at("who").as_string());
    document.change_id = std::string(fields.at("change_id").as_string());
    document.at_ms = fields.at("at_ms").to_number<std::int64_t>();
    return document;
  } catch (const std::exception&) {
    return std::nullopt;
  }
}

std::string generation_text(generation at) { return std::to_string(at.get()); }

}  // namespace

document_registry::document_registry(runtime& clock, object_store& store, audit_log& trail,
                                     std::string own_host)
    : time(clock), platform(store), audit(trail), host(std::move(own_host)) {}

void document_registry::offer(const service_name& service, generation at, const std::string& text) {
  std::vector<ini_problem> problems;
  const auto document = read_document(text, problems);
  if (!document || document->service != service) {
    // An unreadable document is never adopted. One that was accepted is readable at every host of
    // this version.
    log(event::document_refused, {{"service", service.get()}, {"detail", to_string(problems)}});
    return;
  }
  offer_outcome outcome = offer_outcome::older_ignored;
  {
    const std::lock_guard lock(this->mutex);
    outcome = this->rollout.offer(service, at, text, this->time.now());
    if (outcome == offer_outcome::adopted) {
      this->parsed[service] = std::make_shared<const service_document>(*document);
      this->index_credentials();
    }
  }
  const std::vector<log_field> fields{{"service", service.get()},
                                      {"generation", generation_text(at)}};
  if (outcome == offer_outcome::adopted) {
    log(event::document_in_force, fields);
  } else if (outcome != offer_outcome::already_in_force) {
    log(event::document_older_ignored, fields);
  }
}

void document_registry::apply_object(const stored_object& object) {
  if (!object.key.starts_with(key_prefix)) {
    return;
  }
  if (const auto document = parse_stored_document(object.value)) {
    this->offer(service_name(object.key.substr(key_prefix.size())), document->at, document->text);
  }
}

void document_registry::mark_complete() {
  const std::lock_guard lock(this->mutex);
  this->rollout.mark_complete();
}

bool document_registry::ready() const {
  const std::lock_guard lock(this->mutex);
  return this->rollout.ready();
}

std::uint64_t document_registry::digest() const {
  const std::lock_guard lock(this->mutex);
  return this->rollout.digest();
}

std::vector<document_generation> document_registry::document_generations() const {
  const std::lock_guard lock(this->mutex);
  std::vector<document_generation> out;
  for (const auto& [service, document] : this->rollout.documents()) {
    out.push_back({service, document.at});
  }
  return out;
}

std::vector<document_copy> document_registry::newer_than(
    const std::vector<document_generation>& theirs) const {
  std::map<service_name, generation> known;
  for (const document_generation& item : theirs) {
    known[item.service] = item.at;
  }
  const std::lock_guard lock(this->mutex);
  std::vector<document_copy> copies;
  for (const service_name& service : this->rollout.newer_than(known)) {
    const document_in_force& document = this->rollout.documents().at(service);
    copies.push_back({service, document.at, document.text});
  }
  return copies;
}

void document_registry::apply_copies(const std::vector<document_copy>& copies) {
  for (const document_copy& copy : copies) {
    this->offer(copy.service, copy.at, copy.text);
  }
}

std::shared_ptr<const service_document> document_registry::find(const service_name& service) const {
  const std::lock_guard lock(this->mutex);
  const auto found = this->parsed.find(service);
  return found == this->parsed.end() ? nullptr : found->second;
}

std::optional<caller_identity> document_registry::identify(const std::string& credential) const {
  const std::lock_guard lock(this->mutex);
  const auto found = this->by_credential.find(credential);
  if (found == this->by_credential.end()) {
    return std::nullopt;
  }
  return found->second;
}

/// The caller holds `mutex`.
void document_registry::index_credentials() {
  this->by_credential.clear();
  for (const auto& [service, document] : this->parsed) {
    for (const account_settings& terms : document->accounts) {
      this->by_credential.emplace(terms.credential, caller_identity{terms.account, service});
    }
  }
}

std::vector<document_status> document_registry::status() const {
  const std::lock_guard lock(this->mutex);
  std::vector<document_status> rows;
  for (const auto& [service, document] : this->rollout.documents()) {
    rows.push_back({service, document.at, document_digest(document.text),
                    this->parsed.at(service)->owner_team, this->time.now() - document.since});
  }
  return rows;
}

std::optional<std::string> document_registry::text_of(const service_name& service,
                                                      generation& at) const {
  const std::lock_guard lock(this->mutex);
  const auto found = this->rollout.documents().find(service);
  if (found == this->rollout.documents().end()) {
    return std::nullopt;
  }
  at = found->second.at;
  return found->second.text;
}

apply_result document_registry::check(const apply_request& request, const fleet_view& fleet) const {
  apply_result result;
  result.digest = document_digest(request.text);
  const auto document = read_document(request.text, result.problems);
  if (document && document->service != request.service) {
    result.problems.push_back({0, "[service] name is '" + document->service.get() +
                                      "', but the document is for another service"});
  }
  if (!result.problems.empty()) {
    result.error = error_kind::document_invalid;
    return result;
  }
  const auto before = this->find(request.service);
  result.effects = effects_of(before ? std::optional(*before) : std::nullopt, *document, fleet);
  for (const change_effect& effect : result.effects) {
    if (effect.dangerous && request.confirmed_digest != result.digest) {
      result.error = error_kind::confirmation_required;
    }
  }
  return result;
}

asio::awaitable<apply_result> document_registry::apply(apply_request request, fleet_view fleet) {
  apply_result result = this->check(request, fleet);
  if (!result.error) {
    result = co_await this->store(request, std::move(result));
  }
  generation current;
  std::ignore = this->text_of(request.service, current);
  this->audit.add({this->time.wall_clock_ms(), this->host, request.who, "document.apply",
                   request.service.get(), generation_text(request.expected), result.digest,
                   result.error ? std::string(answer_for(*result.error).name)
                                : "generation " + generation_text(result.at)});
  log(result.error ? event::document_refused : event::document_accepted,
      {{"service", request.service.get()}, {"who", request.who}, {"digest", result.digest}});
  co_return result;
}

asio::awaitable<apply_result> document_registry::store(const apply_request& request,
                                                       apply_result checked) {
  const std::string key = key_prefix + request.service.get();
  const std::string change_id = std::to_string(this->time.random());
  for (int attempt = 0; attempt < store_attempts; ++attempt) {
    failure reason;
    const auto object = co_await this->platform.get(key, reason);
    if (!object) {
      checked.error = reason.kind;
      checked.detail = reason.detail;
      continue;
    }
    const auto stored = parse_stored_document(object->value);
    const generation at = stored ? stored->at : generation(0);
    if (stored && stored->change_id == change_id) {
      // An earlier attempt took effect; only its response was lost.
      checked.error.reset();
      checked.at = at;
      this->offer(request.service, at, request.text);
      co_return checked;
    }
    if (at != request.expected) {
      checked.error = error_kind::version_conflict;
      checked.detail = "generation " + generation_text(at) + " by " +
                       (stored ? stored->who : std::string("nobody")) + ", not " +
                       generation_text(request.expected) + ", is stored";
      co_return checked;
    }
    generation in_force;
    std::ignore = this->text_of(request.service, in_force);
    stored_document next;
    next.at = std::max(at, in_force).next();
    next.text = request.text;
    next.who = request.who;
    next.change_id = change_id;
    next.at_ms = this->time.wall_clock_ms();
    const write_result written = co_await this->platform.put(key, object->version, to_json(next));
    checked.error = error_kind::platform_unavailable;
    checked.detail = written.detail;
    if (written.outcome == write_result::kind::applied) {
      checked.error.reset();
      checked.at = next.at;
      this->offer(request.service, next.at, request.text);
      co_return checked;
    }
  }
  co_return checked;
}

}  // namespace hawthornlane

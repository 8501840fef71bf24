// Answering operators.
#include "hawthornlane/node/admin_routes.h"

#include <fmt/format.h>

#include <boost/asio/use_awaitable.hpp>
#include <boost/json.hpp>
#include <charconv>

#include "hawthornlane/node/front_routes.h"

namespace hawthornlane {
namespace asio = boost::asio;
namespace json = boost::json;

namespace {

const std::string prefix = "/v1/admin/";
const std::string documents_prefix = "documents/";
const std::string programs_prefix = "programs/";
constexpr std::size_t most_programs_listed = 1000;

http::response json_response(const json::object& body, int status = 200) {
  http::response answer;
  answer.status = status;
  answer.body = json::serialize(body) + "\n";
  return answer;
}

std::string_view state_name(member_state state) {
  switch (state) {
    case member_state::alive:
      return "alive";
    case member_state::suspected:
      return "suspected";
    case member_state::leaving:
      return "leaving";
    case member_state::gone:
      return "gone";
  }
  return "gone";
}

json::object to_json(const apply_result& result) {
  json::object body;
  json::array problems;
  for (const ini_problem& problem : result.problems) {
    problems.push_back(json::object{{"line", problem.line}, {"message", problem.message}});
  }
  json::array effects;
  for (const change_effect& effect : result.effects) {
    effects.push_back(json::object{{"message", effect.message}, {"dangerous", effect.dangerous}});
  }
  body["problems"] = problems;
  body["effects"] = effects;
  body["digest"] = result.digest;
  body["generation"] = result.at.get();
  if (result.error) {
    const error_answer& row = answer_for(*result.error);
    body["error"] = row.name;
    body["meaning"] = row.meaning;
    body["detail"] = result.detail;
  }
  return body;
}

http::response to_response(const apply_result& result) {
  const int status = result.error ? answer_for(*result.error).http_status : 200;
  return json_response(to_json(result), status);
}

json::object program_row(const program_state& state, const shard_core& core) {
  return {{"program", state.opened.program.get()},
          {"service", state.opened.service.get()},
          {"client_account", state.opened.account.get()},
          {"turns", state.turns.size()},
          {"charged_tokens", state.charged.get()},
          {"budget_left", state.tokens_left().get()},
          {"running", state.open_intent.has_value()},
          {"closed", state.closed},
          {"shard", core.shard().get()},
          {"epoch", core.known_assignment().at.get()},
          {"copies", core.in_sync_replicas() + 1}};
}

}  // namespace

admin_routes::admin_routes(admin_dependencies reached) : parts(std::move(reached)) {}

bool admin_routes::handles_path(const std::string& path) { return path.starts_with(prefix); }

asio::awaitable<void> admin_routes::handle(const http::request& ask, http::exchange& reply) {
  if (credential_of(ask) != this->parts.credential) {
    http::response refusal = error_response(error_kind::not_authenticated, "operators only");
    co_await reply.respond(std::move(refusal));
    co_return;
  }
  http::response made = co_await this->answer(ask);
  co_await reply.respond(std::move(made));
}

asio::awaitable<http::response> admin_routes::answer(const http::request& ask) {
  const std::string rest = ask.path.substr(prefix.size());
  const bool get = ask.method == "GET";
  if (rest == "documents" && get) {
    co_return this->documents();
  }
  if (rest.starts_with(documents_prefix)) {
    const std::string service = rest.substr(documents_prefix.size());
    if (get) {
      co_return this->show_document(service);
    }
    if (ask.method == "POST") {
      co_return this->check_document(ask, service);
    }
    if (ask.method == "PUT") {
      co_return co_await this->apply_document(ask, service);
    }
  }
  if (rest == "hosts" && get) {
    co_return this->hosts();
  }
  if (rest == "servers" && get) {
    co_return this->servers();
  }
  if (rest == "programs" && get) {
    co_return this->programs();
  }
  if (rest.starts_with(programs_prefix) && get) {
    co_return this->program(rest.substr(programs_prefix.size()));
  }
  if (rest == "audit" && get) {
    co_return co_await this->audit_trail();
  }
  if (rest == "drain" && ask.method == "POST") {
    co_return this->drain(ask);
  }
  co_return error_response(error_kind::not_found, ask.method + " " + ask.path);
}

apply_request admin_routes::request_from(const http::request& ask,
                                         const std::string& service) const {
  apply_request request;
  request.service = service_name(service);
  request.text = ask.body;
  request.who = ask.find_header("x-operator").value_or("unnamed operator");
  const std::string expected = ask.find_query("expected").value_or("0");
  std::uint64_t number = 0;
  std::from_chars(expected.data(), expected.data() + expected.size(), number);
  request.expected = generation(number);
  request.confirmed_digest = ask.find_query("confirm").value_or("");
  return request;
}

fleet_view admin_routes::fleet_for(const service_name& service) const {
  fleet_view fleet;
  this->parts.backends.add_server_counts(fleet);
  this->parts.shards.read_all([&](const shard_core& core) {
    if (!core.serving() || !core.log()) {
      return;
    }
    for (const auto& [id, program] : core.log()->state.programs) {
      if (program.opened.service == service && !program.closed) {
        fleet.running.push_back({program.charged, static_cast<std::int64_t>(program.turns.size())});
      }
    }
  });
  return fleet;
}

asio::awaitable<http::response> admin_routes::apply_document(const http::request& ask,
                                                             const std::string& service) {
  const apply_request request = this->request_from(ask, service);
  fleet_view fleet = this->fleet_for(request.service);
  const apply_result result = co_await this->parts.documents.apply(request, std::move(fleet));
  co_return to_response(result);
}

http::response admin_routes::check_document(const http::request& ask, const std::string& service) {
  const apply_request request = this->request_from(ask, service);
  return to_response(this->parts.documents.check(request, this->fleet_for(request.service)));
}

http::response admin_routes::show_document(const std::string& service) {
  generation at;
  const auto text = this->parts.documents.text_of(service_name(service), at);
  if (!text) {
    return error_response(error_kind::not_found, service);
  }
  json::object body;
  body["service"] = service;
  body["generation"] = at.get();
  body["digest"] = document_digest(*text);
  body["text"] = *text;
  return json_response(body);
}

http::response admin_routes::documents() {
  json::array rows;
  for (const document_status& row : this->parts.documents.status()) {
    rows.push_back(json::object{{"service", row.service.get()},
                                {"generation", row.at.get()},
                                {"digest", row.digest},
                                {"owner_team", row.owner_team},
                                {"in_force_seconds", to_seconds(row.in_force_for)}});
  }
  json::object body;
  body["host"] = this->parts.hosts.self().id.host.get();
  body["documents"] = rows;
  return json_response(body);
}

http::response admin_routes::hosts() {
  std::map<host_incarnation, std::int64_t> owned;
  this->parts.shards.read_all(
      [&owned](const shard_core& core) { ++owned[core.known_assignment().owner]; });
  json::array rows;
  for (const member& host : this->parts.hosts.all()) {
    rows.push_back(json::object{{"host", host.id.host.get()},
                                {"availability_zone", host.zone.get()},
                                {"state", state_name(host.state)},
                                {"address", host.front_address},
                                {"shards_owned", owned[host.id]}});
  }
  json::object body;
  body["hosts"] = rows;
  return json_response(body);
}

http::response admin_routes::servers() {
  json::array rows;
  for (const backend_server& server : this->parts.backends.all()) {
    rows.push_back(json::object{{"server", server.id.get()},
                                {"model", server.model.get()},
                                {"tool", server.tool},
                                {"availability_zone", server.zone.get()},
                                {"state", server.leaving ? "leaving" : "live"},
                                {"calls_from_this_host", server.outstanding},
                                {"failures", server.failures}});
  }
  json::object body;
  body["servers"] = rows;
  return json_response(body);
}

http::response admin_routes::programs() {
  json::array rows;
  this->parts.shards.read_all([&rows](const shard_core& core) {
    if (!core.serving() || !core.log()) {
      return;
    }
    for (const auto& [id, program] : core.log()->state.programs) {
      if (rows.size() < most_programs_listed) {
        rows.push_back(program_row(program, core));
      }
    }
  });
  json::object body;
  body["host"] = this->parts.hosts.self().id.host.get();
  body["programs"] = rows;
  return json_response(body);
}

http::response admin_routes::program(const std::string& id) {
  const auto shard = shard_of(program_id(id));
  json::object body;
  if (shard && this->parts.shards.has(*shard)) {
    this->parts.shards.read(*shard, [&](const shard_core& core) {
      if (const program_state* state = core.find_program(program_id(id))) {
        body = program_row(*state, core);
        body["serving_here"] = core.serving();
      }
    });
  }
  return body.empty() ? error_response(error_kind::program_unknown, id) : json_response(body);
}

asio::awaitable<http::response> admin_routes::audit_trail() {
  failure reason;
  const auto listing = co_await this->parts.platform.list("audit/", reason);
  json::array rows;
  if (listing) {
    for (const stored_object& object : listing->objects) {
      boost::system::error_code error;
      const json::value entries = json::parse(object.value, error);
      if (error || !entries.is_array()) {
        continue;
      }
      for (const json::value& entry : entries.as_array()) {
        rows.push_back(entry);
      }
    }
  }
  constexpr std::size_t most_unstored = 1000;
  for (const audit_entry& entry : this->parts.audit.unstored(most_unstored)) {
    rows.push_back(json::parse(to_json_line(entry)));
  }
  json::object body;
  body["entries"] = rows;
  body["platform_reachable"] = listing.has_value();
  body["dropped"] = this->parts.audit.dropped();
  co_return json_response(body);
}

http::response admin_routes::drain(const http::request& ask) {
  this->parts.drain(ask.find_header("x-operator").value_or("unnamed operator"));
  json::object body;
  body["host"] = this->parts.hosts.self().id.host.get();
  body["state"] = "leaving";
  constexpr int accepted = 202;
  return json_response(body, accepted);
}

}  // namespace hawthornlane

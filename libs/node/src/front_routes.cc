// Answering callers: their programs, and where to send calls; the calls are in front_calls.cc.
#include "hawthornlane/node/front_routes.h"

#include <boost/asio/redirect_error.hpp>
#include <boost/asio/this_coro.hpp>
#include <boost/asio/use_awaitable.hpp>
#include <boost/json.hpp>

#include "front_answers.h"

namespace hawthornlane {
namespace asio = boost::asio;
namespace json = boost::json;

namespace {

const std::string programs_path = "/v1/programs";

/// "/v1/programs/ID[/calls[/TICKET]]" in its parts.
struct program_path {
  program_id program;
  std::string rest;
};

program_path split_program_path(const std::string& path) {
  const std::string after = path.substr(programs_path.size() + 1);
  const std::size_t slash = std::min(after.find('/'), after.size());
  return {program_id(after.substr(0, slash)), after.substr(slash)};
}

json::object address_row(const member& host, std::string_view why) {
  return {{"address", host.front_address},
          {"host", host.id.host.get()},
          {"availability_zone", host.zone.get()},
          {"why", why}};
}

}  // namespace

std::string credential_of(const http::request& ask) {
  const std::string value = ask.find_header("authorization").value_or("");
  constexpr std::string_view scheme = "Bearer ";
  return value.starts_with(scheme) ? value.substr(scheme.size()) : std::string{};
}

front_routes::front_routes(front_dependencies reached) : parts(std::move(reached)) {}

bool front_routes::handles_path(const std::string& path) {
  return path == "/v1/addresses" || path.starts_with(programs_path);
}

asio::awaitable<void> front_routes::handle(const http::request& ask, http::exchange& reply,
                                           bool forwarded) {
  if (ask.path == "/v1/addresses") {
    co_await this->addresses(ask, reply);
    co_return;
  }
  const auto caller = this->parts.documents.identify(credential_of(ask));
  if (!caller) {
    const error_kind kind =
        this->parts.documents.ready() ? error_kind::not_authenticated : error_kind::not_ready;
    http::response refusal = error_response(kind, "");
    co_await reply.respond(std::move(refusal));
    co_return;
  }
  if (ask.path == programs_path && ask.method == "POST") {
    co_await this->open(reply, *caller);
    co_return;
  }
  if (ask.path.starts_with(programs_path + "/")) {
    co_await this->route_program(ask, reply, *caller, forwarded);
    co_return;
  }
  http::response refusal = error_response(error_kind::not_found, ask.path);
  co_await reply.respond(std::move(refusal));
}

std::optional<member> front_routes::owner_of(shard_id shard) {
  std::optional<host_incarnation> owner;
  this->parts.shards.read(shard, [&owner](const shard_core& core) {
    if (core.known_assignment().at > epoch(0)) {
      owner = core.known_assignment().owner;
    }
  });
  return owner ? this->parts.hosts.find_live(*owner) : std::nullopt;
}

asio::awaitable<void> front_routes::route_program(const http::request& ask, http::exchange& reply,
                                                  const caller_identity& caller, bool forwarded) {
  const program_path path = split_program_path(ask.path);
  const auto shard = shard_of(path.program);
  if (!shard || !this->parts.shards.has(*shard)) {
    http::response refusal = error_response(error_kind::program_unknown, path.program.get());
    co_await reply.respond(std::move(refusal));
    co_return;
  }
  bool serving = false;
  this->parts.shards.read(*shard, [&serving](const shard_core& core) { serving = core.serving(); });
  if (!serving && !forwarded) {
    co_await this->pass_on(ask, reply, *shard);
    co_return;
  }
  if (!serving) {
    http::response refusal = error_response(error_kind::not_owner, "");
    co_await reply.respond(std::move(refusal));
    co_return;
  }
  const std::string calls_path = "/calls";
  if (path.rest == calls_path && ask.method == "POST") {
    co_await this->call(ask, reply, caller, path.program);
  } else if (path.rest.starts_with(calls_path + "/") && ask.method == "GET") {
    co_await this->fetch(reply, caller, path.program, path.rest.substr(calls_path.size() + 1));
  } else if (path.rest.empty() && ask.method == "DELETE") {
    co_await this->close(reply, caller, path.program);
  } else if (path.rest.empty() && ask.method == "GET") {
    co_await this->show(reply, caller, path.program);
  } else {
    http::response refusal = error_response(error_kind::not_found, ask.method + " " + ask.path);
    co_await reply.respond(std::move(refusal));
  }
}

asio::awaitable<void> front_routes::addresses(const http::request& ask, http::exchange& reply) {
  json::array rows;
  std::vector<host_id> named;
  const auto add = [&](const std::optional<member>& host, std::string_view why) {
    if (!host || std::find(named.begin(), named.end(), host->id.host) != named.end()) {
      return;
    }
    named.push_back(host->id.host);
    rows.push_back(address_row(*host, why));
  };
  std::uint64_t map_epoch = 0;
  const auto program = ask.find_query("program");
  const auto shard = program ? shard_of(program_id(*program)) : std::nullopt;
  if (shard && this->parts.shards.has(*shard)) {
    assignment entry;
    this->parts.shards.read(*shard,
                            [&entry](const shard_core& core) { entry = core.known_assignment(); });
    map_epoch = entry.at.get();
    add(this->parts.hosts.find_live(entry.owner), "owner");
    for (const host_incarnation& replica : entry.replicas) {
      add(this->parts.hosts.find_live(replica), "replica");
    }
  }
  std::vector<member> usable = this->parts.hosts.usable();
  if (!usable.empty()) {
    // Spread callers that ask without a program evenly.
    std::rotate(
        usable.begin(),
        usable.begin() + static_cast<std::ptrdiff_t>(this->parts.time.random() % usable.size()),
        usable.end());
  }
  const std::string zone = ask.find_query("availability_zone").value_or("");
  std::stable_partition(usable.begin(), usable.end(),
                        [&zone](const member& host) { return host.zone.get() == zone; });
  for (const member& host : usable) {
    add(host, host.zone.get() == zone ? "same zone" : "live");
  }
  const auto keep_seconds =
      std::chrono::duration_cast<std::chrono::seconds>(this->parts.address_time).count();
  json::object body;
  body["addresses"] = rows;
  body["keep_seconds"] = keep_seconds;
  body["epoch"] = map_epoch;
  http::response answer = json_response(body);
  co_await reply.respond(std::move(answer));
}

std::optional<shard_id> front_routes::own_shard() {
  const std::uint32_t count = this->parts.shards.size();
  const std::uint64_t start = this->parts.time.random();
  for (std::uint32_t step = 0; step < count; ++step) {
    const shard_id shard(static_cast<std::uint32_t>((start + step) % count));
    bool usable = false;
    this->parts.shards.read(shard, [&usable](const shard_core& core) {
      usable = core.serving() && core.in_sync_replicas() > 0;
    });
    if (usable) {
      return shard;
    }
  }
  return std::nullopt;
}

asio::awaitable<void> front_routes::open(http::exchange& reply, const caller_identity& caller) {
  const auto document = this->parts.documents.find(caller.service);
  const auto shard = this->own_shard();
  if (!this->parts.accepting() || !shard || !document) {
    const error_kind kind =
        this->parts.accepting() ? error_kind::not_ready : error_kind::host_leaving;
    http::response refusal = error_response(kind, "no shard of this host can take a program");
    co_await reply.respond(std::move(refusal));
    co_return;
  }
  program_opened opened;
  opened.program = make_program_id(*shard, this->parts.time.random());
  opened.account = caller.account;
  opened.service = caller.service;
  opened.limits.tokens = document->budget_tokens;
  opened.limits.turns = static_cast<std::uint32_t>(document->budget_turns);
  opened.limits.tool_calls = static_cast<std::uint32_t>(document->budget_tool_calls);
  opened.limits.wall_time_ms =
      std::chrono::duration_cast<std::chrono::milliseconds>(document->budget_wall_time).count();
  opened.opened_at_ms = this->parts.time.wall_clock_ms();
  const call_table::entry entry = this->parts.calls.add(co_await asio::this_coro::executor);
  this->parts.shards.change(*shard, [&](shard_core& core) {
    return core.open_program(entry.id, opened, this->parts.time.random(), this->parts.time.now());
  });
  boost::system::error_code error;
  const call_event event =
      co_await entry.channel->async_receive(asio::redirect_error(asio::use_awaitable, error));
  constexpr int created = 201;
  json::object body = to_json(*event.answer);
  body["program"] = opened.program.get();
  body["service"] = caller.service.get();
  const int status = event.answer->error ? answer_for(*event.answer->error).http_status : created;
  http::response answer = json_response(body, status);
  co_await reply.respond(std::move(answer));
}

bool front_routes::read_program(
    const program_id& program, const caller_identity& caller,
    const std::function<void(const shard_core&, const program_state&)>& read) {
  const auto shard = shard_of(program);
  bool known = false;
  this->parts.shards.read(*shard, [&](const shard_core& core) {
    const program_state* state = core.find_program(program);
    known = core.serving() && state != nullptr && state->opened.account == caller.account &&
            state->opened.service == caller.service;
    if (known) {
      read(core, *state);
    }
  });
  return known;
}

asio::awaitable<void> front_routes::close(http::exchange& reply, const caller_identity& caller,
                                          const program_id& program) {
  if (!this->read_program(program, caller, [](const auto&, const auto&) {})) {
    http::response refusal = error_response(error_kind::program_unknown, program.get());
    co_await reply.respond(std::move(refusal));
    co_return;
  }
  const call_table::entry entry = this->parts.calls.add(co_await asio::this_coro::executor);
  this->parts.shards.change(*shard_of(program), [&](shard_core& core) {
    return core.close_program(entry.id, program, this->parts.time.now());
  });
  co_await this->relay(reply, *entry.channel, false);
}

asio::awaitable<void> front_routes::show(http::exchange& reply, const caller_identity& caller,
                                         const program_id& program) {
  json::object body;
  const bool known =
      this->read_program(program, caller, [&](const shard_core& core, const program_state& state) {
        body["program"] = program.get();
        body["service"] = state.opened.service.get();
        body["turns"] = state.turns.size();
        body["digest"] = hex(state.digest());
        body["budget_left"] = state.tokens_left().get();
        body["running"] = state.open_intent.has_value();
        body["closed"] = state.closed;
        body["epoch"] = core.known_assignment().at.get();
        body["host"] = core.known_assignment().owner.host.get();
        body["copies"] = core.in_sync_replicas() + 1;
      });
  http::response answer =
      known ? json_response(body) : error_response(error_kind::program_unknown, program.get());
  co_await reply.respond(std::move(answer));
}

asio::awaitable<void> front_routes::fetch(http::exchange& reply, const caller_identity& caller,
                                          const program_id& program,
                                          const std::string& ticket_text) {
  const auto asked = ticket_from_string(ticket_text);
  http::response answer = error_response(error_kind::program_unknown, program.get());
  const auto look_up = [&](const shard_core&, const program_state& state) {
    if (!asked) {
      answer = error_response(error_kind::wrong_ticket, "the ticket is malformed");
      return;
    }
    if (const finished_turn* turn = state.find_finished(*asked)) {
      call_answer kept;
      kept.turn = *turn;
      kept.replayed = true;
      answer = to_response(kept);
      return;
    }
    if (state.open_intent && state.open_intent->call_ticket == *asked) {
      answer = error_response(error_kind::turn_in_progress, "");
      return;
    }
    const bool abandoned = state.find_abandoned(*asked) != nullptr;
    answer = error_response(abandoned ? error_kind::may_have_run : error_kind::not_found,
                            "no answer is kept for that ticket");
  };
  this->read_program(program, caller, look_up);
  co_await reply.respond(std::move(answer));
}

}  // namespace hawthornlane

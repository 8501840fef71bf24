// A caller's call: read, prepared for its backend server, begun, and its answer relayed.
#include <fmt/format.h>

#include <algorithm>
#include <boost/asio/redirect_error.hpp>
#include <boost/asio/this_coro.hpp>
#include <boost/asio/use_awaitable.hpp>
#include <boost/json.hpp>

#include "front_answers.h"
#include "hawthornlane/node/front_routes.h"

namespace hawthornlane {
namespace asio = boost::asio;
namespace json = boost::json;

/// The body of a call as the caller wrote it.
struct call_fields {
  std::string ticket_text;
  std::optional<std::string> digest;
  json::array messages;
  std::optional<std::int64_t> max_tokens;
  std::string tool;
  std::string path;
  json::value body;
  bool stream = false;
};

namespace {

constexpr std::int64_t bytes_per_token = 4;
constexpr duration model_silence = std::chrono::seconds(60);

std::optional<call_fields> read_call(const std::string& text, std::string& problem) {
  boost::system::error_code error;
  const json::value parsed = json::parse(text, error);
  const json::object* object = error ? nullptr : parsed.if_object();
  if (object == nullptr) {
    problem = "the body is not a JSON object";
    return std::nullopt;
  }
  call_fields fields;
  for (const auto& item : *object) {
    const std::string_view key(item.key().data(), item.key().size());
    const json::value& value = item.value();
    if (key == "ticket" && value.is_string()) {
      fields.ticket_text = std::string(value.as_string());
    } else if (key == "digest" && value.is_string()) {
      fields.digest = std::string(value.as_string());
    } else if (key == "messages" && value.is_array()) {
      fields.messages = value.as_array();
    } else if (key == "max_tokens" && value.is_int64()) {
      fields.max_tokens = value.as_int64();
    } else if (key == "tool" && value.is_string()) {
      fields.tool = std::string(value.as_string());
    } else if (key == "path" && value.is_string()) {
      fields.path = std::string(value.as_string());
    } else if (key == "body") {
      fields.body = value;
    } else if (key == "stream" && value.is_bool()) {
      fields.stream = value.as_bool();
    } else {
      problem = fmt::format("'{}' is unknown or has the wrong type", key);
      return std::nullopt;
    }
  }
  return fields;
}

/// Puts one finished turn at the end of a conversation.
void append_turn(json::array& conversation, const finished_turn& turn) {
  boost::system::error_code error;
  const json::value request = json::parse(turn.request, error);
  if (!error && request.is_array()) {
    for (const json::value& message : request.as_array()) {
      conversation.push_back(message);
    }
    conversation.push_back(json::object{{"role", "assistant"}, {"content", turn.answer}});
    return;
  }
  conversation.push_back(json::object{{"role", "tool"}, {"content", turn.answer}});
}

const account_settings* find_account(const service_document& document,
                                     const client_account& account) {
  for (const account_settings& terms : document.accounts) {
    if (terms.account == account) {
      return &terms;
    }
  }
  return nullptr;
}

}  // namespace

std::optional<std::string> front_routes::conversation(const program_id& program,
                                                      const std::string& new_messages) {
  json::array conversation;
  bool known = false;
  this->parts.shards.read(*shard_of(program), [&](const shard_core& core) {
    const program_state* state = core.find_program(program);
    known = state != nullptr;
    if (known) {
      for (const finished_turn& turn : state->turns) {
        append_turn(conversation, turn);
      }
    }
  });
  if (!known) {
    return std::nullopt;
  }
  const json::value added = json::parse(new_messages);
  for (const json::value& message : added.as_array()) {
    conversation.push_back(message);
  }
  return json::serialize(conversation);
}

bool front_routes::prepare_model_call(const service_document& document, prepared_call& call,
                                      const call_fields& fields, failure& reason) {
  if (document.model.get().empty()) {
    reason = {error_kind::bad_request, "the service has no model"};
    return false;
  }
  if (fields.messages.empty()) {
    reason = {error_kind::bad_request, "'messages' is missing or empty"};
    return false;
  }
  const std::int64_t asked = fields.max_tokens.value_or(document.max_answer_tokens.get());
  if (asked < 1 || asked > document.max_answer_tokens.get()) {
    reason = {error_kind::bad_request,
              fmt::format("'max_tokens' is outside 1 to {}", document.max_answer_tokens.get())};
    return false;
  }
  call.history_request = json::serialize(fields.messages);
  const auto messages = this->conversation(call.request.program, call.history_request);
  const auto* terms = find_account(document, call.request.account);
  call.weight = terms == nullptr ? 1 : terms->weight;
  if (!messages) {
    reason = {error_kind::program_unknown, ""};
    return false;
  }
  const auto bytes = static_cast<std::int64_t>(call.history_request.size());
  call.prompt_growth = token_count(bytes / bytes_per_token + 1);
  const auto whole = static_cast<std::int64_t>(messages->size()) / bytes_per_token + 1;
  call.history = token_count(std::max<std::int64_t>(0, whole - call.prompt_growth.get()));
  call.call.messages = *messages;
  call.call.max_tokens = token_count(asked);
  call.call.model = document.model;
  call.call.response_timeout = std::min(document.call_deadline, model_silence);
  call.need.model = document.model;
  call.request.repeatable = true;
  call.request.reserved = call.prompt_growth + call.call.max_tokens;
  return true;
}

bool front_routes::prepare_tool_call(const service_document& document, prepared_call& call,
                                     const call_fields& fields, failure& reason) {
  const tool_settings* tool = document.find_tool(fields.tool);
  if (tool == nullptr) {
    reason = {error_kind::not_permitted, "the service has no tool '" + fields.tool + "'"};
    return false;
  }
  if (!fields.path.starts_with("/") || fields.path.find_first_of(" \r\n") != std::string::npos) {
    reason = {error_kind::bad_request, "'path' does not begin with '/' or holds blanks"};
    return false;
  }
  json::object described;
  described["tool"] = fields.tool;
  described["path"] = fields.path;
  described["body"] = fields.body;
  call.history_request = json::serialize(described);
  call.call.path = fields.path;
  call.call.body = json::serialize(fields.body);
  call.call.response_timeout = tool->timeout;
  call.need.tool = fields.tool;
  call.request.repeatable = tool->repeatable;
  call.request.is_tool_call = true;
  return true;
}

std::optional<prepared_call> front_routes::prepare(const http::request& ask,
                                                   const caller_identity& caller,
                                                   const program_id& program, bool& stream,
                                                   failure& reason) {
  std::string problem;
  const auto fields = read_call(ask.body, problem);
  const auto presented = fields ? ticket_from_string(fields->ticket_text) : std::nullopt;
  if (!fields) {
    reason = {error_kind::bad_request, problem};
    return std::nullopt;
  }
  if (!presented || presented->shard != *shard_of(program)) {
    reason = {error_kind::wrong_ticket, "'ticket' is malformed or another shard's"};
    return std::nullopt;
  }
  const auto document = this->parts.documents.find(caller.service);
  if (!document) {
    reason = {error_kind::not_permitted, "the service has no document"};
    return std::nullopt;
  }
  stream = fields->stream;
  prepared_call call;
  call.shard = presented->shard;
  call.request.program = program;
  call.request.account = caller.account;
  call.request.presented = *presented;
  call.request.wall_clock_ms = this->parts.time.wall_clock_ms();
  if (fields->digest) {
    call.request.known_digest = from_hex(*fields->digest);
    if (!call.request.known_digest) {
      reason = {error_kind::bad_request, "'digest' is not 16 hexadecimal digits"};
      return std::nullopt;
    }
  }
  call.call.program = program;
  call.call.request_id = to_string(*presented);
  const bool good = fields->tool.empty()
                        ? this->prepare_model_call(*document, call, *fields, reason)
                        : this->prepare_tool_call(*document, call, *fields, reason);
  if (!good) {
    return std::nullopt;
  }
  call.deadline = document->call_deadline;
  call.request.request_digest = text_digest(call.history_request);
  return call;
}

asio::awaitable<void> front_routes::call(const http::request& ask, http::exchange& reply,
                                         const caller_identity& caller, const program_id& program) {
  if (!this->read_program(program, caller, [](const auto&, const auto&) {})) {
    http::response refusal = error_response(error_kind::program_unknown, program.get());
    co_await reply.respond(std::move(refusal));
    co_return;
  }
  failure reason;
  bool stream = false;
  auto prepared = this->prepare(ask, caller, program, stream, reason);
  if (!prepared) {
    http::response refusal = error_response(reason.kind, reason.detail);
    co_await reply.respond(std::move(refusal));
    co_return;
  }
  const shard_id shard = prepared->shard;
  const call_request request = prepared->request;
  std::optional<call_answer> early;
  this->parts.shards.change(shard, [&](shard_core& core) {
    early = core.check_call(request, this->parts.time.random());
    return actions{};
  });
  if (early) {
    http::response answer = to_response(*early);
    co_await reply.respond(std::move(answer));
    co_return;
  }
  if (const auto refused = this->parts.runner.refusal(*prepared)) {
    call_answer refusal;
    this->parts.shards.change(shard, [&](shard_core& core) {
      refusal =
          core.refuse_call(request, refused->kind, refused->detail, this->parts.time.random());
      return actions{};
    });
    http::response answer = to_response(refusal);
    co_await reply.respond(std::move(answer));
    co_return;
  }
  const call_table::entry entry = this->parts.calls.add(co_await asio::this_coro::executor);
  prepared->request.call = entry.id;
  this->parts.runner.enqueue(std::move(*prepared));
  co_await this->relay(reply, *entry.channel, stream);
  this->parts.calls.remove(entry.id);
}

asio::awaitable<void> front_routes::relay(http::exchange& reply, call_channel& channel,
                                          bool stream) {
  bool started = false;
  while (true) {
    boost::system::error_code error;
    const call_event event =
        co_await channel.async_receive(asio::redirect_error(asio::use_awaitable, error));
    if (error) {
      // The caller took its text too slowly; the answer is kept.
      if (started) {
        co_await reply.finish_stream();
      }
      co_return;
    }
    if (!event.answer) {
      if (!stream) {
        continue;
      }
      if (!started) {
        http::response head;
        head.content_type = "text/event-stream";
        co_await reply.start_stream(std::move(head));
        started = true;
      }
      json::object piece;
      piece["text"] = event.text;
      const std::string chunk = server_sent_event("text", piece);
      co_await reply.write(chunk);
      continue;
    }
    if (!started) {
      http::response whole = to_response(*event.answer);
      co_await reply.respond(std::move(whole));
      co_return;
    }
    const std::string last = server_sent_event("answer", to_json(*event.answer));
    co_await reply.write(last);
    co_await reply.finish_stream();
    co_return;
  }
}

}  // namespace hawthornlane

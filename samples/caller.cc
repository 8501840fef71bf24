// A small caller: requests addresses, opens a program, makes two dependent calls and ends
// the program. It shows the rule that every caller must follow: keep the ticket until its
// answer has arrived, and send the same call again if it does not arrive.
//
// usage: sample_caller IP:port CREDENTIAL
#include <fmt/format.h>

#include <boost/asio/co_spawn.hpp>
#include <boost/asio/io_context.hpp>
#include <boost/json.hpp>
#include <chrono>
#include <stdexcept>

#include "hawthornlane/http/client.h"

namespace {

using namespace hawthornlane;
namespace asio = boost::asio;
namespace json = boost::json;

constexpr duration fetch_timeout = std::chrono::seconds(60);
constexpr int max_attempts = 5;

/// State of a program that a caller has to keep between two calls.
struct program_state {
  http::endpoint host;
  std::string credential;
  std::string program;
  std::string ticket;
  std::string digest;
};

http::request request_to(const program_state& state, std::string method, std::string target,
                         std::string body) {
  http::request ask;
  ask.method = std::move(method);
  ask.target = std::move(target);
  ask.body = std::move(body);
  ask.headers = {{"Authorization", "Bearer " + state.credential}};
  return ask;
}

void update_ticket(program_state& state, const json::object& answer) {
  if (answer.contains("ticket")) {
    state.ticket = std::string(answer.at("ticket").as_string());
    state.digest = std::string(answer.at("digest").as_string());
  }
}

asio::awaitable<json::object> ask(http::client& client, const program_state& state,
                                  std::string method, std::string target, std::string body) {
  http::fetch_failure why;
  http::request what = request_to(state, std::move(method), std::move(target), std::move(body));
  const auto answer = co_await client.fetch(state.host, std::move(what), fetch_timeout, why);
  if (!answer) {
    json::object nothing;
    nothing["lost"] = why.detail;
    co_return nothing;
  }
  const json::value parsed = json::parse(answer->body);
  co_return parsed.as_object();
}

/// Makes one call. If its answer is lost, the call is repeated with the same ticket: it runs
/// once, however often it is sent.
asio::awaitable<std::string> say(http::client& client, program_state& state, std::string text) {
  json::object message;
  message["role"] = "user";
  message["content"] = text;
  for (int attempt = 0; attempt < max_attempts; ++attempt) {
    json::object body;
    body["ticket"] = state.ticket;
    body["digest"] = state.digest;
    body["max_tokens"] = 8;
    body["messages"] = json::array{message};
    const json::object answer = co_await ask(
        client, state, "POST", "/v1/programs/" + state.program + "/calls", json::serialize(body));
    update_ticket(state, answer);
    if (answer.contains("outcome") && answer.at("outcome").as_string() == "kept") {
      co_return std::string(answer.at("answer").as_string());
    }
    fmt::print("  no answer yet: {}\n", json::serialize(answer));
  }
  throw std::runtime_error("no answer after several attempts");
}

asio::awaitable<void> run(http::client& client, program_state& state) {
  const json::object opened = co_await ask(client, state, "POST", "/v1/programs", "");
  if (!opened.contains("program")) {
    throw std::runtime_error("opening a program failed: " + json::serialize(opened));
  }
  state.program = std::string(opened.at("program").as_string());
  update_ticket(state, opened);
  // The first address is the owner of the program's shard; any other host would have to relay
  // the calls.
  const json::object listed =
      co_await ask(client, state, "GET", "/v1/addresses?program=" + state.program, "");
  const json::object& best = listed.at("addresses").as_array().front().as_object();
  state.host =
      http::endpoint_from_string(std::string(best.at("address").as_string())).value_or(state.host);
  for (const char* text : {"The lift sinks. What first?", "The pressure is low. Go on."}) {
    const std::string answer = co_await say(client, state, text);
    fmt::print("> {}\n  {}\n", text, answer);
  }
  co_await ask(client, state, "DELETE", "/v1/programs/" + state.program, "");
}

}  // namespace

int main(int argc, char** argv) {
  constexpr int exit_usage = 2;
  const auto host = argc == 3 ? http::endpoint_from_string(argv[1]) : std::nullopt;
  if (!host) {
    fmt::print(stderr, "usage: sample_caller IP:port CREDENTIAL\n");
    return exit_usage;
  }
  program_state state;
  state.host = *host;
  state.credential = argv[2];
  std::exception_ptr fault;
  asio::io_context context;
  http::client client;
  asio::co_spawn(context, run(client, state),
                 [&fault](const std::exception_ptr& raised) { fault = raised; });
  context.run();
  if (fault) {
    try {
      std::rethrow_exception(fault);
    } catch (const std::exception& raised) {
      fmt::print(stderr, "sample_caller: {}\n", raised.what());
      return 1;
    }
  }
  return 0;
}

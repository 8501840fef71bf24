// The `call` command: runs a whole program as a caller would, with one call per line of a file.
#include <fmt/format.h>

#include <boost/json.hpp>
#include <chrono>
#include <cstdio>
#include <fstream>
#include <iostream>
#include <thread>

#include "commands.h"
#include "json_fields.h"

namespace hawthornlane::cli {
namespace json = boost::json;

namespace {

constexpr int first_error_status = 400;
constexpr int max_attempts = 20;
constexpr auto retry_interval = std::chrono::milliseconds(300);

/// Parses server-sent events: prints the text and stores the final answer.
class stream_reader {
public:
  explicit stream_reader(bool quiet_output) : quiet(quiet_output) {}

  bool take(std::string_view part) {
    this->pending += part;
    std::size_t end = this->pending.find("\n\n");
    while (end != std::string::npos) {
      this->take_event(this->pending.substr(0, end));
      this->pending.erase(0, end + 2);
      end = this->pending.find("\n\n");
    }
    return true;
  }

  [[nodiscard]] json::object whole() const {
    return this->answer.empty() ? parsed_object(this->pending) : this->answer;
  }

private:
  void take_event(const std::string& event) {
    const std::size_t data = event.find("\ndata: ");
    if (data == std::string::npos) {
      return;
    }
    const json::object body = parsed_object(event.substr(data + 7));
    if (event.starts_with("event: answer")) {
      this->answer = body;
    } else if (!this->quiet) {
      fmt::print("{}", field(body, "text"));
      std::fflush(stdout);
    }
  }

  bool quiet;
  std::string pending;
  json::object answer;
};

/// The caller's side of one program.
class program_run {
public:
  program_run(connection& to, output as) : hosts(to), options(as) {}

  int run(std::istream& calls) {
    if (!this->open()) {
      return exit_unreachable;
    }
    std::string line;
    while (std::getline(calls, line)) {
      if (line.empty() || line.starts_with("#")) {
        continue;
      }
      const int code = this->call(parsed_object(line));
      if (code != exit_ok) {
        return code;
      }
    }
    return this->close();
  }

private:
  /// Queries the addresses to use for the program; the owner of its shard comes first.
  void query_addresses() {
    std::string reason;
    const std::string target = "/v1/addresses?program=" + this->program;
    const auto answer = this->hosts.ask("GET", target, "", reason);
    if (!answer) {
      return;
    }
    this->addresses.clear();
    const json::object body = parsed_object(answer->body);
    for (const json::value& row : body.at("addresses").as_array()) {
      if (const auto at = http::endpoint_from_string(field(row.as_object(), "address"))) {
        this->addresses.push_back(*at);
      }
    }
  }

  bool open() {
    this->began = std::chrono::steady_clock::now();
    this->query_addresses();
    for (int attempt = 0; attempt < max_attempts; ++attempt) {
      for (const http::endpoint& at : this->addresses) {
        http::fetch_failure why;
        const auto answer = this->hosts.ask_one(at, "POST", "/v1/programs", "{}", why);
        if (answer && answer->status < first_error_status) {
          const json::object body = parsed_object(answer->body);
          this->program = field(body, "program");
          this->take_ticket(body);
          this->query_addresses();
          return true;
        }
        this->last_reason = answer ? answer->body : why.detail;
      }
      std::this_thread::sleep_for(retry_interval);
      this->query_addresses();
    }
    fmt::print(stderr, "cannot open a program: {}\n", this->last_reason);
    return false;
  }

  void take_ticket(const json::object& body) {
    if (body.contains("ticket")) {
      this->ticket = field(body, "ticket");
      this->digest = field(body, "digest");
      this->budget_left = field(body, "budget_left");
    }
  }

  json::object body_of(const json::object& call) const {
    json::object body;
    body["ticket"] = this->ticket;
    body["digest"] = this->digest;
    if (call.contains("tool")) {
      body["tool"] = call.at("tool");
      body["path"] = call.contains("path") ? call.at("path") : json::value("/");
      body["body"] = call.contains("body") ? call.at("body") : json::value(nullptr);
      return body;
    }
    body["stream"] = true;
    json::object message;
    message["role"] = "user";
    message["content"] = call.contains("say") ? call.at("say") : json::value("");
    body["messages"] = json::array{message};
    if (call.contains("max_tokens")) {
      body["max_tokens"] = call.at("max_tokens");
    }
    return body;
  }

  int call(const json::object& call) {
    const bool tool = call.contains("tool");
    if (!this->options.json) {
      fmt::print("> {}\n", tool ? "tool " + field(call, "tool") : field(call, "say"));
    }
    // The ticket identifies the call, so it is safe to retry at any host.
    for (int attempt = 0; attempt < max_attempts; ++attempt) {
      const http::endpoint at =
          this->addresses.at(static_cast<std::size_t>(attempt) % this->addresses.size());
      stream_reader reader(this->options.json);
      http::fetch_failure why;
      const auto answer = this->hosts.stream(
          at, "POST", "/v1/programs/" + this->program + "/calls",
          json::serialize(this->body_of(call)),
          [&reader](std::string_view part) { return reader.take(part); }, why);
      json::object result = answer && answer->status >= first_error_status
                                ? parsed_object(answer->body)
                                : reader.whole();
      const std::string outcome = field(result, "outcome");
      // An answer without a ticket for the next call is incomplete, so the call is retried.
      if (answer && outcome == "kept" && result.contains("ticket")) {
        this->finish_turn(result, at);
        return exit_ok;
      }
      this->last_reason = answer ? json::serialize(result) : why.detail;
      if (!this->may_retry(result, tool)) {
        break;
      }
      std::this_thread::sleep_for(retry_interval);
      this->query_addresses();
    }
    fmt::print(stderr, "the call failed: {}\n", this->last_reason);
    return this->last_reason.find("may_have_run") != std::string::npos ? exit_may_have_run
                                                                       : exit_refused;
  }

  /// Whether the call may be retried. Uses the new ticket if the result contains one.
  bool may_retry(const json::object& result, bool tool) {
    const std::string error = field(result, "error");
    if (result.empty() || error == "not_owner" || error == "not_ready" ||
        error == "turn_in_progress" || error == "peer_unavailable") {
      return true;
    }
    const bool has_ticket = result.contains("ticket");
    this->take_ticket(result);
    if (error == "may_have_run") {
      // Without a new ticket the outcome is still unknown; a retry with the same ticket shows it.
      return !has_ticket || !tool;
    }
    return error == "not_run" || error == "over_limit" || error == "no_backend_server";
  }

  void finish_turn(const json::object& result, const http::endpoint& at) {
    this->take_ticket(result);
    ++this->turns;
    if (this->options.json) {
      fmt::print("{}\n", json::serialize(result));
      return;
    }
    const bool streamed = field(result, "answer").starts_with("word");
    if (!streamed) {
      fmt::print("{}", field(result, "answer"));
    }
    fmt::print("\n  [turn {}, {} tokens, {} copies, by {}]\n", field(result, "turn"),
               field(result, "used_tokens"), field(result, "copies"), http::to_string(at));
  }

  int close() {
    std::string reason;
    http::fetch_failure why;
    const auto shown = this->hosts.ask_one(this->addresses.front(), "GET",
                                           "/v1/programs/" + this->program, "", why);
    const json::object status = shown ? parsed_object(shown->body) : json::object();
    const auto closed = this->hosts.ask_one(this->addresses.front(), "DELETE",
                                            "/v1/programs/" + this->program, "", why);
    const std::chrono::duration<double> took = std::chrono::steady_clock::now() - this->began;
    if (!this->options.json) {
      fmt::print("program {}: {} turns in {:.2f} s, {} tokens of budget left, served by host {}\n",
                 this->program, this->turns, took.count(), this->budget_left,
                 field(status, "host"));
    }
    return closed && closed->status < first_error_status ? exit_ok : exit_refused;
  }

  connection& hosts;
  output options;
  std::vector<http::endpoint> addresses;
  std::string program;
  std::string ticket;
  std::string digest;
  std::string budget_left;
  std::string last_reason;
  int turns = 0;
  std::chrono::steady_clock::time_point began;
};

}  // namespace

int call(connection& hosts, const std::string& file, output options) {
  program_run run(hosts, options);
  if (file == "-") {
    return run.run(std::cin);
  }
  std::ifstream calls(file);
  if (!calls) {
    fmt::print(stderr, "{}: cannot read the file\n", file);
    return exit_usage;
  }
  return run.run(calls);
}

}  // namespace hawthornlane::cli

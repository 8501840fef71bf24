// Blocking HTTP requests of the command-line client.
#include "connection.h"

#include <boost/asio/co_spawn.hpp>
#include <boost/asio/detached.hpp>
#include <boost/asio/io_context.hpp>

namespace hawthornlane::cli {
namespace asio = boost::asio;

namespace {

constexpr duration call_limit = std::chrono::seconds(30);
constexpr duration stream_idle_timeout = std::chrono::seconds(120);

asio::awaitable<void> fetch_into(http::client& client, http::endpoint host, http::request ask,
                                 duration idle_timeout, http::body_sink sink,
                                 http::fetch_failure& why, std::optional<http::response>& answer) {
  answer = co_await client.fetch_stream(host, std::move(ask), idle_timeout, std::move(sink), why);
}

}  // namespace

connection::connection(std::vector<http::endpoint> hosts, std::string secret, std::string name)
    : endpoints(std::move(hosts)), credential(std::move(secret)), who(std::move(name)) {}

std::optional<http::response> connection::stream(const http::endpoint& host,
                                                 const std::string& method,
                                                 const std::string& target, const std::string& body,
                                                 const http::body_sink& sink,
                                                 http::fetch_failure& why) {
  http::request ask;
  ask.method = method;
  ask.target = target;
  ask.body = body;
  ask.headers = {{"Authorization", "Bearer " + this->credential}, {"X-Operator", this->who}};
  std::optional<http::response> answer;
  // Declared before the client, whose connections must not outlive the context.
  asio::io_context context;
  http::client client;
  asio::co_spawn(context,
                 fetch_into(client, host, std::move(ask), stream_idle_timeout, sink, why, answer),
                 asio::detached);
  context.run();
  return answer;
}

std::optional<http::response> connection::ask_one(const http::endpoint& host,
                                                  const std::string& method,
                                                  const std::string& target,
                                                  const std::string& body,
                                                  http::fetch_failure& why) {
  std::string collected;
  const auto sink = [&collected](std::string_view part) {
    collected += part;
    return true;
  };
  auto answer = this->stream(host, method, target, body, sink, why);
  if (answer && answer->body.empty()) {
    answer->body = std::move(collected);
  }
  return answer;
}

std::optional<http::response> connection::ask(const std::string& method, const std::string& target,
                                              const std::string& body, std::string& reason) {
  for (const http::endpoint& host : this->endpoints) {
    http::fetch_failure why;
    auto answer = this->ask_one(host, method, target, body, why);
    if (answer) {
      return answer;
    }
    reason = why.detail;
    if (method != "GET" && why.reached != http::progress::not_connected) {
      return std::nullopt;
    }
  }
  return std::nullopt;
}

}  // namespace hawthornlane::cli

// `hawthornlaned` processes with tools and model engines whose responses a test chooses.
#include "daemon_deployment.h"

#include <fmt/format.h>

namespace hawthornlane::scenarios {
namespace json = boost::json;

namespace {

constexpr int daemon_count = 3;
constexpr const char* credential = "north-of-the-response-test";
constexpr auto start_limit = std::chrono::seconds(30);
constexpr auto ask_limit = std::chrono::seconds(15);
constexpr auto retry_interval = std::chrono::milliseconds(100);
constexpr int created = 201;

constexpr const char* document = R"([service]
name = diagnosis
owner_team = tests
model = small
max_answer_tokens = 64
call_deadline = 10 s
[budget]
tokens = 20000
turns = 20
tool_calls = 5
[account north]
credential = north-of-the-response-test
[tool claims]
repeatable = no
timeout = 2 s
[tool prices]
repeatable = yes
timeout = 2 s
)";

/// The mark of the call that a request to a server belongs to.
std::string mark_of(const std::string& body) {
  const std::size_t at = body.rfind("call-");
  return at == std::string::npos ? "" : body.substr(at, body.find('.', at) + 1 - at);
}

call_request request_of(const std::string& method, const std::string& path, const std::string& body,
                        const std::string& secret) {
  call_request request;
  request.method = method;
  request.path = path;
  request.body = body;
  request.headers = {{"Authorization", "Bearer " + secret}, {"X-Operator", "test"}};
  return request;
}

daemon_answer answer_from(const std::optional<call_result>& result) {
  daemon_answer answer;
  answer.status = result && result->whole ? result->status : 0;
  boost::system::error_code error;
  const json::value value = json::parse(result ? result->body : std::string(), error);
  if (!error && value.is_object()) {
    answer.body = value.as_object();
  }
  return answer;
}

}  // namespace

bool daemon_answer::is_success() const {
  const json::value* failed = this->body.if_contains("backend_failed");
  return this->status == 200 && (failed == nullptr || !failed->as_bool());
}

bool daemon_answer::is_not_run() const {
  const std::string outcome = this->text("outcome");
  return outcome == "not_run" || outcome == "not_run_here";
}

std::string daemon_answer::text(const char* name) const {
  const json::value* value = this->body.if_contains(name);
  return value != nullptr && value->is_string() ? std::string(value->as_string()) : "";
}

daemon_answer daemon_call::answer() const { return answer_from(*this->result); }

daemon_deployment::daemon_deployment(int servers_per_target) : hosts({4, daemon_count}) {
  for (const call_target& target : call_targets) {
    for (int number = 0; number < servers_per_target; ++number) {
      this->add_server(target, number);
    }
  }
}

void daemon_deployment::add_server(const call_target& target, int number) {
  const std::string name = fmt::format("{}-{}", target.name, number);
  auto& server = this->hosts.add_server(name);
  server.on_arrival([this](const stand_ins::backend_arrival& arrival) {
    this->run_counts[mark_of(arrival.request.body)] += arrival.ran ? 1 : 0;
  });
  this->hosts.daemon_objects().put(
      "servers/" + name,
      fmt::format(R"({{"{}":"{}","address":"{}"}})", target.is_model ? "model" : "tool",
                  target.name, http::to_string(server.where())));
  this->all.push_back(&server);
}

bool daemon_deployment::wait_until_serving() {
  if (!this->hosts.wait_until_serving()) {
    return false;
  }
  const auto until = std::chrono::steady_clock::now() + start_limit;
  bool is_applied = false;
  while (std::chrono::steady_clock::now() < until) {
    if (!is_applied) {
      const daemon_answer applied =
          this->ask("PUT", "/v1/admin/documents/diagnosis", document, operator_credential, 0);
      is_applied = applied.status == 200;
    }
    std::size_t open = 0;
    while (is_applied && open < daemon_count &&
           this->ask("POST", "/v1/programs", "", credential, open).status == created) {
      ++open;
    }
    if (open == daemon_count) {
      return true;
    }
    this->hosts.run_until([] { return false; }, retry_interval);
  }
  return false;
}

daemon_answer daemon_deployment::ask(const std::string& method, const std::string& path,
                                     const std::string& body, const std::string& secret,
                                     std::size_t host) {
  const auto result = this->hosts.begin_call(this->hosts.daemons().at(host),
                                             request_of(method, path, body, secret));
  this->hosts.run_until([&result] { return result->has_value(); }, ask_limit);
  return answer_from(*result);
}

daemon_program daemon_deployment::open_program(std::size_t host) {
  const daemon_answer opened = this->ask("POST", "/v1/programs", "", credential, host);
  return {host, opened.text("program"), opened.text("ticket"), opened.text("digest")};
}

daemon_call daemon_deployment::begin_call(const call_target& target, std::size_t host,
                                          std::size_t padding) {
  return this->begin_call(target, this->open_program(host), padding);
}

daemon_call daemon_deployment::begin_call(const call_target& target, const daemon_program& program,
                                          std::size_t padding) {
  daemon_call call;
  call.mark = fmt::format("call-{}.", ++this->calls);
  const std::string input = std::string(padding, 'p') + call.mark;
  json::object body{{"ticket", program.ticket}, {"digest", program.digest}};
  if (target.is_model) {
    body["messages"] = json::array{json::object{{"role", "user"}, {"content", input}}};
    body["max_tokens"] = 8;
  } else {
    body["tool"] = target.name;
    body["path"] = "/x";
    body["body"] = json::object{{"mark", input}};
  }
  const std::string path = "/v1/programs/" + program.id + "/calls";
  call.result = this->hosts.begin_call(this->hosts.daemons().at(program.host),
                                       request_of("POST", path, json::serialize(body), credential));
  return call;
}

int daemon_deployment::runs(const daemon_call& call) const {
  const auto found = this->run_counts.find(call.mark);
  return found == this->run_counts.end() ? 0 : found->second;
}

}  // namespace hawthornlane::scenarios

// Stand-ins for the platform's store, the servers and the clients, and control of the project's
// own processes. Shared by the review's cases. Everything listens on 127.0.0.1.
#pragma once

#include <arpa/inet.h>
#include <fcntl.h>
#include <netinet/tcp.h>
#include <poll.h>
#include <signal.h>
#include <sys/prctl.h>
#include <sys/socket.h>
#include <sys/wait.h>
#include <unistd.h>

#include <atomic>
#include <boost/json.hpp>
#include <chrono>
#include <condition_variable>
#include <cstdio>
#include <cstdlib>
#include <cstring>
#include <filesystem>
#include <fstream>
#include <functional>
#include <iostream>
#include <map>
#include <memory>
#include <mutex>
#include <optional>
#include <random>
#include <set>
#include <sstream>
#include <string>
#include <thread>
#include <vector>

namespace review {
namespace json = boost::json;
using clock = std::chrono::steady_clock;
using std::chrono::milliseconds;

inline void pause_ms(long ms) { std::this_thread::sleep_for(milliseconds(ms)); }

/// Writes what was sent, answered and run to `record.txt`, with milliseconds since the start.
class record_file {
public:
  explicit record_file(const std::string& path) : out(path) {}
  void note(const std::string& text) {
    const std::lock_guard lock(this->mutex);
    const auto ms = std::chrono::duration_cast<milliseconds>(clock::now() - this->began).count();
    char stamp[32];
    std::snprintf(stamp, sizeof stamp, "%8.3f  ", static_cast<double>(ms) / 1000);
    this->out << stamp << text << std::endl;
    std::cout << stamp << text << std::endl;
  }

private:
  std::ofstream out;
  std::mutex mutex;
  clock::time_point began = clock::now();
};

/// An HTTP/1.1 message, either a request or a response.
struct message {
  std::string start;
  std::vector<std::pair<std::string, std::string>> headers;
  std::string body;
  /// The body has its whole length, or its last chunk.
  bool whole = false;

  std::optional<std::string> header(const std::string& name) const {
    for (const auto& [key, value] : this->headers) {
      if (strcasecmp(key.c_str(), name.c_str()) == 0) {
        return value;
      }
    }
    return std::nullopt;
  }
  int status() const { return this->start.size() > 12 ? std::atoi(this->start.c_str() + 9) : 0; }
  std::string method() const { return this->start.substr(0, this->start.find(' ')); }
  std::string target() const {
    const auto from = this->start.find(' ') + 1;
    return this->start.substr(from, this->start.find(' ', from) - from);
  }
};

/// A connected socket with a read buffer.
class channel {
public:
  explicit channel(int socket) : file(socket) {
    const int one = 1;
    setsockopt(this->file, IPPROTO_TCP, TCP_NODELAY, &one, sizeof one);
  }
  channel(const channel&) = delete;
  channel& operator=(const channel&) = delete;
  ~channel() { ::close(this->file); }

  bool send(const std::string& bytes) {
    std::size_t done = 0;
    while (done < bytes.size()) {
      const auto sent = ::send(this->file, bytes.data() + done, bytes.size() - done, MSG_NOSIGNAL);
      if (sent <= 0) {
        return false;
      }
      done += static_cast<std::size_t>(sent);
    }
    return true;
  }

  /// Closes with a reset, as a process does that ends with unread data.
  void reset() {
    const linger hard{1, 0};
    setsockopt(this->file, SOL_SOCKET, SO_LINGER, &hard, sizeof hard);
  }
  void wake() { ::shutdown(this->file, SHUT_RDWR); }
  /// True if the peer has closed the channel.
  bool peer_closed() {
    char byte = 0;
    return ::recv(this->file, &byte, 1, MSG_PEEK | MSG_DONTWAIT) == 0;
  }

  /// Reads one message. False if the channel ends or `until` passes before its head is complete.
  bool read(message& into, clock::time_point until, bool has_body = true) {
    into = {};
    std::size_t end = 0;
    while ((end = this->buffer.find("\r\n\r\n")) == std::string::npos) {
      if (!this->fill(until)) {
        return false;
      }
    }
    std::istringstream head(this->buffer.substr(0, end));
    this->buffer.erase(0, end + 4);
    std::string line;
    std::getline(head, line);
    into.start = line.substr(0, line.find('\r'));
    while (std::getline(head, line)) {
      line = line.substr(0, line.find('\r'));
      const auto colon = line.find(':');
      if (colon != std::string::npos) {
        const auto value = line.find_first_not_of(' ', colon + 1);
        into.headers.emplace_back(line.substr(0, colon),
                                  value == std::string::npos ? "" : line.substr(value));
      }
    }
    if (has_body) {
      this->read_body(into, until);
    }
    return true;
  }

private:
  void read_body(message& into, clock::time_point until) {
    if (into.header("Transfer-Encoding")) {
      while (true) {
        std::size_t end = 0;
        while ((end = this->buffer.find("\r\n")) == std::string::npos) {
          if (!this->fill(until)) {
            return;
          }
        }
        const auto size = std::strtoul(this->buffer.c_str(), nullptr, 16);
        while (this->buffer.size() < end + 2 + size + 2) {
          if (!this->fill(until)) {
            return;
          }
        }
        into.body += this->buffer.substr(end + 2, size);
        this->buffer.erase(0, end + 2 + size + 2);
        if (size == 0) {
          into.whole = true;
          return;
        }
      }
    }
    const auto length = std::strtoul(into.header("Content-Length").value_or("0").c_str(), nullptr, 10);
    while (this->buffer.size() < length) {
      if (!this->fill(until)) {
        into.body = std::move(this->buffer);
        this->buffer.clear();
        return;
      }
    }
    into.body = this->buffer.substr(0, length);
    this->buffer.erase(0, length);
    into.whole = true;
  }

  bool fill(clock::time_point until) {
    const auto left = std::chrono::duration_cast<milliseconds>(until - clock::now()).count();
    pollfd waiting{this->file, POLLIN, 0};
    if (left <= 0 || ::poll(&waiting, 1, static_cast<int>(left)) <= 0) {
      return false;
    }
    char bytes[65536];
    const auto got = ::recv(this->file, bytes, sizeof bytes, 0);
    if (got <= 0) {
      return false;
    }
    this->buffer.append(bytes, static_cast<std::size_t>(got));
    return true;
  }

  int file;
  std::string buffer;
};

inline sockaddr_in loopback(int port) {
  sockaddr_in at{};
  at.sin_family = AF_INET;
  at.sin_port = htons(static_cast<std::uint16_t>(port));
  inet_pton(AF_INET, "127.0.0.1", &at.sin_addr);
  return at;
}

/// A port that no process listens on, below the range from which the system takes the ports of
/// outgoing channels, so that none of these can take it before the process starts.
inline int free_port() {
  static std::set<int> given;
  static std::mt19937 random{std::random_device{}()};
  while (true) {
    const int port = std::uniform_int_distribution<int>(15000, 31000)(random);
    const int probe = ::socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0);
    const sockaddr_in at = loopback(port);
    const bool is_free = ::bind(probe, reinterpret_cast<const sockaddr*>(&at), sizeof at) == 0;
    ::close(probe);
    if (is_free && given.insert(port).second) {
      return port;
    }
  }
}

inline std::unique_ptr<channel> connect_to(int port) {
  const int file = ::socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0);
  sockaddr_in at = loopback(port);
  if (::connect(file, reinterpret_cast<sockaddr*>(&at), sizeof at) != 0) {
    ::close(file);
    return nullptr;
  }
  return std::make_unique<channel>(file);
}

/// Listens on a loopback port; serves each channel on a thread of its own.
class listener {
public:
  explicit listener(std::function<void(channel&)> serve) : handle(std::move(serve)) {
    this->file = ::socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0);
    sockaddr_in at = loopback(0);
    ::bind(this->file, reinterpret_cast<sockaddr*>(&at), sizeof at);
    ::listen(this->file, 256);
    socklen_t size = sizeof at;
    ::getsockname(this->file, reinterpret_cast<sockaddr*>(&at), &size);
    this->port = ntohs(at.sin_port);
    this->acceptor = std::thread([this] { this->run(); });
  }
  listener(const listener&) = delete;
  listener& operator=(const listener&) = delete;
  ~listener() { this->stop(); }

  /// Ends like a process: no new channels, all open ones are closed.
  void stop() {
    if (this->stopped.exchange(true)) {
      return;
    }
    ::shutdown(this->file, SHUT_RDWR);
    this->acceptor.join();
    ::close(this->file);
    {
      const std::lock_guard lock(this->mutex);
      for (channel* open : this->channels) {
        open->wake();
      }
    }
    for (std::thread& item : this->threads) {
      item.join();
    }
  }

  int port = 0;

private:
  void run() {
    while (!this->stopped) {
      const int accepted = ::accept4(this->file, nullptr, nullptr, SOCK_CLOEXEC);
      if (accepted < 0) {
        break;
      }
      this->threads.emplace_back([this, accepted] {
        channel open(accepted);
        {
          const std::lock_guard lock(this->mutex);
          if (this->stopped) {
            return;
          }
          this->channels.insert(&open);
        }
        this->handle(open);
        const std::lock_guard lock(this->mutex);
        this->channels.erase(&open);
      });
    }
  }

  std::function<void(channel&)> handle;
  int file = -1;
  std::atomic<bool> stopped{false};
  std::mutex mutex;
  std::set<channel*> channels;
  std::vector<std::thread> threads;
  std::thread acceptor;
};

inline std::string response(int status, const std::string& extra, const std::string& body) {
  return "HTTP/1.1 " + std::to_string(status) + " S\r\n" + extra +
         "Content-Length: " + std::to_string(body.size()) + "\r\n\r\n" + body;
}

/// The platform's metadata store, as PROTOCOL.md describes it.
class store {
public:
  store() : server([this](channel& open) { this->serve(open); }) {}
  ~store() {
    {
      const std::lock_guard lock(this->mutex);
      this->closing = true;
    }
    this->changed.notify_all();
    this->server.stop();
  }

  /// While set, each call is answered 503 and nothing is done (`platform_down`, busy).
  std::atomic<bool> busy{false};

  int port() const { return this->server.port; }
  void put(const std::string& kind, const std::string& name, const std::string& spec) {
    const std::lock_guard lock(this->mutex);
    this->write(kind, name, json::parse(spec));
  }
  void remove(const std::string& kind, const std::string& name) {
    const std::lock_guard lock(this->mutex);
    this->erase(kind, name);
  }
  std::string spec(const std::string& kind, const std::string& name) {
    const std::lock_guard lock(this->mutex);
    const auto found = this->objects.find({kind, name});
    return found == this->objects.end() ? "" : json::serialize(found->second.spec);
  }

private:
  struct object {
    json::value spec;
    json::value status;
    std::uint64_t revision = 0;
    std::uint64_t created = 0;
  };
  struct event {
    std::uint64_t revision;
    std::string kind;
    json::object what;
  };

  static json::object shown(const std::string& name, const object& from) {
    return {{"metadata", json::object{{"name", name},
                                      {"revision", from.revision},
                                      {"created-rev", from.created},
                                      {"finalizers", json::array{}},
                                      {"deleting", false}}},
            {"spec", from.spec},
            {"status", from.status}};
  }
  void add_event(const std::string& kind, const std::string& name, const object& at, bool deleted) {
    this->history.push_back(
        {this->revision, kind, {{"object", shown(name, at)}, {"deleted", deleted}}});
    this->changed.notify_all();
  }
  object& write(const std::string& kind, const std::string& name, const json::value& spec) {
    object& at = this->objects[{kind, name}];
    if (at.revision != 0 && at.spec == spec) {
      return at;
    }
    at.spec = spec;
    at.revision = ++this->revision;
    at.created = at.created == 0 ? at.revision : at.created;
    this->add_event(kind, name, at, false);
    return at;
  }
  bool erase(const std::string& kind, const std::string& name) {
    const auto found = this->objects.find({kind, name});
    if (found == this->objects.end()) {
      return false;
    }
    ++this->revision;
    this->add_event(kind, name, found->second, true);
    this->objects.erase(found);
    return true;
  }

  static std::string query_of(const std::string& target, const std::string& name) {
    std::istringstream parts(target.find('?') == std::string::npos
                                 ? ""
                                 : target.substr(target.find('?') + 1));
    std::string part;
    while (std::getline(parts, part, '&')) {
      if (part.rfind(name + "=", 0) == 0) {
        return part.substr(name.size() + 1);
      }
    }
    return "";
  }

  void serve(channel& open) {
    message ask;
    while (open.read(ask, clock::now() + std::chrono::seconds(60))) {
      pause_ms(4);
      const std::string reply =
          this->busy ? response(503, "Content-Type: application/json\r\n", "{}") : this->answer(ask);
      if (reply.empty() || !open.send(reply)) {
        return;
      }
    }
  }

  std::string answer(const message& ask) {
    const std::string kind_of_body = "Content-Type: application/json\r\n";
    const auto plain = [&](int status, const json::value& body) {
      return response(status, kind_of_body, json::serialize(body));
    };
    const std::string target = ask.target();
    std::string path = target.substr(0, target.find('?'));
    const std::string root = "/objects/";
    if (path.rfind(root, 0) != 0) {
      return plain(404, json::object{});
    }
    path.erase(0, root.size());
    const bool on_status = path.size() > 7 && path.substr(path.size() - 7) == "/status";
    if (on_status) {
      path.resize(path.size() - 7);
    }
    const auto slash = path.find('/');
    const std::string kind = path.substr(0, slash);
    const std::string name = slash == std::string::npos ? "" : path.substr(slash + 1);
    std::unique_lock lock(this->mutex);
    if (ask.method() == "GET" && name.empty()) {
      const std::string from = query_of(target, "watch");
      return from.empty() ? plain(200, this->listing(kind))
                          : this->watch(lock, kind, std::stoull(from),
                                        std::atol(query_of(target, "wait-ms").c_str()));
    }
    const auto found = this->objects.find({kind, name});
    if (ask.method() == "GET") {
      return found == this->objects.end() ? plain(404, json::object{})
                                          : plain(200, shown(name, found->second));
    }
    if (ask.method() == "DELETE") {
      return plain(this->erase(kind, name) ? 200 : 404, json::object{});
    }
    const json::value body = json::parse(ask.body);
    const json::object& metadata = body.at("metadata").as_object();
    if (ask.method() == "POST") {
      const std::string created(metadata.at("name").as_string());
      if (this->objects.contains({kind, created})) {
        return plain(409, shown(created, this->objects[{kind, created}]));
      }
      return plain(200, shown(created, this->write(kind, created, body.at("spec"))));
    }
    if (found == this->objects.end()) {
      return plain(404, json::object{});
    }
    const json::value* expected = metadata.if_contains("revision");
    if (expected != nullptr && expected->to_number<std::uint64_t>() != found->second.revision) {
      return plain(409, shown(name, found->second));
    }
    if (on_status) {
      found->second.status = body.at("status");
      found->second.revision = ++this->revision;
      this->add_event(kind, name, found->second, false);
    } else {
      this->write(kind, name, body.at("spec"));
    }
    return plain(200, shown(name, found->second));
  }

  json::object listing(const std::string& kind) {
    json::array items;
    for (const auto& [key, at] : this->objects) {
      if (key.first == kind) {
        items.push_back(shown(key.second, at));
      }
    }
    return {{"items", std::move(items)}, {"has-more", false}, {"as-of", this->revision}};
  }

  std::string watch(std::unique_lock<std::mutex>& lock, const std::string& kind, std::uint64_t from,
                    long wait) {
    const auto until = clock::now() + milliseconds(wait);
    json::array events;
    while (!this->closing) {
      for (const event& item : this->history) {
        if (item.kind == kind && item.revision > from) {
          events.push_back(item.what);
        }
      }
      if (!events.empty() || this->changed.wait_until(lock, until) == std::cv_status::timeout) {
        break;
      }
    }
    return response(200, "Content-Type: application/json\r\n",
                    json::serialize(json::object{{"events", std::move(events)},
                                                 {"as-of", this->revision}}));
  }

  std::mutex mutex;
  std::condition_variable changed;
  bool closing = false;
  std::uint64_t revision = 1;
  std::map<std::pair<std::string, std::string>, object> objects;
  std::vector<event> history;
  listener server;
};

/// One request that a server began to work on.
struct run_of {
  std::string id;
  std::string server;
  std::string body;
  clock::time_point at;
};

/// All runs at all servers.
class run_log {
public:
  explicit run_log(record_file& to) : record(to) {}
  void add(const std::string& server, const message& ask) {
    const std::string id = ask.header("X-Request-Id").value_or("");
    {
      const std::lock_guard lock(this->mutex);
      this->runs.push_back({id, server, ask.body, clock::now()});
    }
    if (this->is_recorded(id)) {
      this->record.note("run       " + id + " at " + server + ", body of " +
                        std::to_string(ask.body.size()) + " bytes");
    }
  }
  std::vector<run_of> of(const std::string& id) {
    const std::lock_guard lock(this->mutex);
    std::vector<run_of> found;
    for (const run_of& item : this->runs) {
      if (item.id == id) {
        found.push_back(item);
      }
    }
    return found;
  }
  std::function<bool(const std::string& id)> is_recorded = [](const std::string&) { return true; };

private:
  record_file& record;
  std::mutex mutex;
  std::vector<run_of> runs;
};

/// A server of the users: answers turns with a stream of events, other requests with a body.
class backend {
public:
  backend(std::string instance, std::string of_service, run_log& log)
      : id(std::move(instance)),
        service(std::move(of_service)),
        runs(log),
        server([this](channel& open) { this->serve(open); }) {}

  std::string id;
  std::string service;
  int work_ms = 60;
  int events = 3;
  /// Set when the server begins to leave, so that its last answers close their channels.
  std::atomic<bool> leaving{false};

  std::string entry(bool draining = false) const {
    return json::serialize(json::object{{"service", this->service},
                                        {"address", "127.0.0.1:" + std::to_string(this->server.port)},
                                        {"zone", "zone-a"},
                                        {"version", "v1"},
                                        {"slots", 8},
                                        {"state", draining ? "draining" : "ready"},
                                        {"cold-remaining-ms", 0},
                                        {"seq", 1}});
  }
  void stop() { this->server.stop(); }

private:
  void serve(channel& open) {
    message ask;
    while (open.read(ask, clock::now() + std::chrono::seconds(60))) {
      const std::string id_line = "X-Request-Id: " + ask.header("X-Request-Id").value_or("") + "\r\n";
      const std::string close = this->leaving ? "Connection: close\r\n" : "Keep-Alive: timeout=60\r\n";
      bool sent = false;
      if (ask.method() == "GET" && ask.target() == "/healthz") {
        sent = open.send(response(this->leaving ? 503 : 200,
                                  "X-Instance-Id: " + this->id + "\r\n" + close, ""));
      } else if (ask.header("X-Expect-Instance").value_or(this->id) != this->id) {
        sent = open.send(response(421, id_line + "X-Instance-Id: " + this->id + "\r\n", ""));
      } else if (!ask.header("X-Request-Id")) {
        sent = open.send(response(400, "X-Not-Executed: 1\r\n", ""));
      } else {
        this->runs.add(this->id, ask);
        const std::string seal = "X-Response-Seal: " + this->id + ".1\r\n";
        sent = ask.header("X-Token-Count") ? this->stream(open, ask, id_line + seal)
                                           : this->answer(open, id_line + seal + close);
      }
      if (!sent || this->leaving) {
        return;
      }
    }
  }

  bool answer(channel& open, const std::string& headers) const {
    pause_ms(this->work_ms);
    return open.send(response(200, headers, "result of " + this->id));
  }

  bool stream(channel& open, const message& ask, const std::string& headers) const {
    pause_ms(20);
    if (!open.send("HTTP/1.1 200 OK\r\nContent-Type: text/event-stream\r\n" + headers +
                   "Transfer-Encoding: chunked\r\n\r\n")) {
      return false;
    }
    const int begin = std::atoi(ask.header("Last-Event-Id").value_or("0").c_str());
    for (int number = begin + 1; number <= this->events; ++number) {
      const std::string event = "id: " + std::to_string(number) + "\ndata: piece " +
                                std::to_string(number) + "\n\n";
      char size[16];
      std::snprintf(size, sizeof size, "%zx\r\n", event.size());
      if (!open.send(size + event + "\r\n")) {
        return false;
      }
      pause_ms(10);
    }
    return open.send("0\r\n\r\n");
  }

  run_log& runs;
  listener server;
};

/// What a client saw of one attempt.
struct outcome {
  int status = 0;
  bool whole = false;
  bool sealed = false;
  std::string body;
  std::optional<double> retry_after;
  /// The channel could not be opened, or ended before a status arrived.
  bool broken = false;

  bool good() const { return this->status == 200 && this->whole && this->sealed; }
  std::string text() const {
    if (this->broken) {
      return "no answer";
    }
    return std::to_string(this->status) + (this->whole ? "" : ", not whole") +
           (this->sealed ? ", sealed" : "") +
           (this->status == 200 ? "" : ", " + this->body.substr(0, 80));
  }
};

using header_list = std::vector<std::pair<std::string, std::string>>;

inline outcome call(int port, const std::string& method, const std::string& path,
                    const header_list& headers, const std::string& body, long limit_ms) {
  outcome seen;
  const auto open = connect_to(port);
  std::string bytes = method + " " + path + " HTTP/1.1\r\nHost: review.example\r\n";
  for (const auto& [name, value] : headers) {
    bytes += name + ": " + value + "\r\n";
  }
  if (method != "GET") {
    bytes += "Content-Length: " + std::to_string(body.size()) + "\r\n";
  }
  bytes += "\r\n" + body;
  message answer;
  if (!open || !open->send(bytes) || !open->read(answer, clock::now() + milliseconds(limit_ms))) {
    seen.broken = true;
    return seen;
  }
  seen.status = answer.status();
  seen.whole = answer.whole;
  seen.sealed = answer.header("X-Response-Seal").has_value();
  seen.body = answer.body;
  if (const auto after = answer.header("Retry-After")) {
    seen.retry_after = std::atof(after->c_str());
  }
  return seen;
}

/// The project's own processes: front hosts and disk hosts, started with the commands of the
/// deploy file and its settings templates.
class deployment {
public:
  deployment(record_file& to, store& platform, int fronts, int disks, int memory_mb = 110)
      : record(to), platform_port(platform.port()), memory(memory_mb) {
    std::string name =
        (std::filesystem::temp_directory_path() / "hawthornlane-review-XXXXXX").string();
    this->folder = ::mkdtemp(name.data());
    for (int number = 0; number < fronts; ++number) {
      this->hosts.push_back(this->make_host("front", number));
    }
    for (int number = 0; number < disks; ++number) {
      this->hosts.push_back(this->make_host("disk", number));
    }
  }
  deployment(const deployment&) = delete;
  deployment& operator=(const deployment&) = delete;
  ~deployment() {
    for (auto& host : this->hosts) {
      if (host->pid > 0) {
        ::kill(host->pid, SIGKILL);
        ::waitpid(host->pid, nullptr, 0);
      }
    }
    std::filesystem::remove_all(this->folder);
  }

  struct host {
    std::string name;
    std::string role;
    std::string settings;
    pid_t pid = -1;
    int callers = 0;
    int ready = 0;
    int metrics = 0;
  };

  void start_all() {
    for (auto& item : this->hosts) {
      this->start(*item);
    }
  }
  host& named(const std::string& name) {
    for (auto& item : this->hosts) {
      if (item->name == name) {
        return *item;
      }
    }
    std::abort();
  }
  void start(host& which) {
    const std::string command = this->command_of(which.role);
    const std::string log = this->folder + "/" + which.name + ".out";
    which.pid = ::fork();
    if (which.pid == 0) {
      // Ends with this program, however that ends.
      ::prctl(PR_SET_PDEATHSIG, SIGKILL);
      const int out = ::open(log.c_str(), O_WRONLY | O_CREAT | O_APPEND, 0644);
      ::dup2(out, 1);
      ::dup2(out, 2);
      ::setenv("HAWTHORNLANE_SETTINGS", which.settings.c_str(), 1);
      ::execl(command.c_str(), command.c_str(), nullptr);
      ::_exit(127);
    }
    this->record.note("start     " + which.name);
  }
  /// Sends a signal and waits for the process to end.
  void end(host& which, int signal) {
    this->record.note((signal == SIGTERM ? "SIGTERM   " : "SIGKILL   ") + which.name);
    ::kill(which.pid, signal);
    ::waitpid(which.pid, nullptr, 0);
    which.pid = -1;
    this->record.note("ended     " + which.name);
  }
  void send_signal(host& which, int signal) {
    this->record.note("signal " + std::to_string(signal) + " to " + which.name);
    ::kill(which.pid, signal);
  }
  bool is_running(host& which) {
    if (which.pid > 0 && ::waitpid(which.pid, nullptr, WNOHANG) == which.pid) {
      which.pid = -1;
    }
    return which.pid > 0;
  }
  bool is_ready(host& which) {
    return call(which.ready, "GET", "/ready", {}, "", 1000).status == 200;
  }
  /// A value of the host's metrics page; -1 if it has none of that name.
  long metric(host& which, const std::string& name) {
    std::istringstream page(call(which.metrics, "GET", "/", {}, "", 1000).body);
    std::string key;
    double value = 0;
    std::string line;
    while (std::getline(page, line)) {
      std::istringstream parts(line);
      if (parts >> key >> value && key == name) {
        return static_cast<long>(value);
      }
    }
    return -1;
  }
  /// Waits until every front host says that it is ready.
  bool wait_ready(int limit_ms) {
    const auto until = clock::now() + milliseconds(limit_ms);
    for (auto& item : this->hosts) {
      while (item->role == "front" && item->pid > 0 && !this->is_ready(*item)) {
        if (clock::now() > until) {
          return false;
        }
        pause_ms(50);
      }
    }
    return true;
  }
  /// Copies the processes' logs, for reading after a run.
  void keep_logs(const std::string& into) {
    std::filesystem::create_directories(into);
    for (auto& item : this->hosts) {
      std::error_code ignored;
      std::filesystem::copy_file(this->folder + "/" + item->name + ".out",
                                 into + "/" + item->name + ".out",
                                 std::filesystem::copy_options::overwrite_existing, ignored);
    }
  }

private:
  std::string command_of(const std::string& role) const {
    std::ifstream file("deploy/system.toml");
    std::string line;
    bool here = false;
    while (std::getline(file, line)) {
      here = line.rfind("[", 0) == 0 ? line == "[roles." + role + "]" : here;
      if (here && line.rfind("run = \"", 0) == 0) {
        return line.substr(7, line.rfind('"') - 7);
      }
    }
    return "";
  }

  std::unique_ptr<host> make_host(const std::string& role, int number) {
    auto made = std::make_unique<host>();
    made->role = role;
    made->name = role + "-" + std::to_string(number + 1);
    made->settings = this->folder + "/" + made->name + ".ini";
    made->callers = free_port();
    made->ready = free_port();
    made->metrics = free_port();
    const std::string data = this->folder + "/" + made->name;
    std::filesystem::create_directories(data);
    const std::map<std::string, std::string> fields{
        {"node", made->name},
        {"zone", "zone-a"},
        {"region", "region-a"},
        {"ip", "127.0.0.1"},
        {"limits.memory-mb", std::to_string(this->memory)},
        {"limits.max-fds", "4100"},
        {"limits.disk-mb", "380"},
        {"listen.front", "127.0.0.1:" + std::to_string(made->callers)},
        {"listen.ready", "127.0.0.1:" + std::to_string(made->ready)},
        {"listen.directory", "127.0.0.1:" + std::to_string(free_port())},
        {"bounds.grace-s", "8"},
        {"port-range.0", std::to_string(free_port())},
        {"port-range.1", std::to_string(made->metrics)},
        {"contracts", "base,drain,config,cost,recover,agent,stream,engine,platform"},
        {"fault-tolerance.machines", "1"},
        {"data-dir", data},
        {"platform.address", "127.0.0.1:" + std::to_string(this->platform_port)}};
    std::ofstream(made->settings) << rendered("deploy/" + role + ".ini.template", fields);
    return made;
  }

  /// Fills in a settings template. Sections on fields that are absent are left out.
  static std::string rendered(const std::string& path,
                              const std::map<std::string, std::string>& fields) {
    std::ifstream file(path);
    std::ostringstream whole;
    whole << file.rdbuf();
    std::string text = whole.str();
    std::size_t at = 0;
    while ((at = text.find("{{#")) != std::string::npos) {
      const auto close = text.find("}}", at);
      const std::string name = text.substr(at + 3, close - at - 3);
      const std::string end = "{{/" + name + "}}";
      text.erase(at, text.find(end) + end.size() - at);
    }
    while ((at = text.find("{{")) != std::string::npos) {
      const auto close = text.find("}}", at);
      const auto field = fields.find(text.substr(at + 2, close - at - 2));
      text.replace(at, close + 2 - at, field == fields.end() ? "" : field->second);
    }
    return text;
  }

  record_file& record;
  int platform_port;
  int memory;
  std::string folder;
  std::vector<std::unique_ptr<host>> hosts;
};

/// The configuration of a small deployment: a route whose turns are kept, and an unsafe route.
inline std::string configuration(int version) {
  return R"({"version":)" + std::to_string(version) + R"(,
    "routes":[
      {"name":"r-kept","host":"review.example","path-prefix":"/kept/","kind":"stream",
       "timeout-ms":3000,"target-latency-ms":250,"priority":1,"service":"models","max-attempts":1,
       "kept":true,"retain-s":60.0,"sticky":true,"resumable":false,"gap-aim-ms":150},
      {"name":"r-unsafe","host":"review.example","path-prefix":"/unsafe/","kind":"unsafe",
       "timeout-ms":3000,"target-latency-ms":600,"priority":2,"service":"apps","max-attempts":1}],
    "services":[
      {"name":"models","health-path":"/healthz","max-conns":170,"protocol":"h1","tls":false,
       "engine":{"slots":12,"kv-capacity":118074,"token-kv-bytes":18432,"link-mbps":130000.0,
                 "moves":true,"backups":true,"tokens-per-event":12,"most":12,"pin-ms":4000.0,
                 "hold-ms":2000.0,"handle_s":5.0,"models":[{"name":"m"}]}},
      {"name":"apps","health-path":"/healthz","max-conns":110,"protocol":"h1","tls":false}],
    "limits":{"max-header-bytes":16384,"max-body-bytes":4194304,"header-timeout-ms":3000,
              "idle-timeout-ms":15000}})";
}

}  // namespace review

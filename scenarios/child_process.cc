// A program that a scenario runs as a child process.
#include "child_process.h"

#include <fcntl.h>
#include <spawn.h>
#include <sys/wait.h>
#include <unistd.h>

#include <csignal>
#include <filesystem>
#include <fstream>
#include <system_error>

namespace hawthornlane::scenarios {

child_process::child_process(const std::vector<std::string>& arguments,
                             const std::string& output_file, std::optional<int> socket) {
  std::vector<char*> words;
  words.reserve(arguments.size() + 1);
  for (const std::string& word : arguments) {
    words.push_back(const_cast<char*>(word.c_str()));
  }
  words.push_back(nullptr);
  constexpr mode_t file_mode = 0644;
  posix_spawn_file_actions_t actions;
  ::posix_spawn_file_actions_init(&actions);
  ::posix_spawn_file_actions_addopen(&actions, STDOUT_FILENO, output_file.c_str(),
                                     O_WRONLY | O_CREAT | O_APPEND, file_mode);
  ::posix_spawn_file_actions_adddup2(&actions, STDOUT_FILENO, STDERR_FILENO);
  // A copy of a proxy's or a server's socket would keep its port and its connections open.
  if (socket) {
    ::posix_spawn_file_actions_adddup2(&actions, *socket, inherited_socket);
  }
  ::posix_spawn_file_actions_addclosefrom_np(&actions, inherited_socket + (socket ? 1 : 0));
  const int error =
      ::posix_spawn(&this->id, words.front(), &actions, nullptr, words.data(), environ);
  ::posix_spawn_file_actions_destroy(&actions);
  if (error != 0) {
    throw std::system_error(error, std::generic_category(), arguments.front());
  }
}

child_process::~child_process() { this->kill(); }

void child_process::reap(bool wait) {
  int wait_status = 0;
  if (!this->ended && ::waitpid(this->id, &wait_status, wait ? 0 : WNOHANG) == this->id) {
    this->ended = wait_status;
  }
}

void child_process::signal(int number) {
  if (this->running()) {
    ::kill(this->id, number);
  }
}

void child_process::set_stopped(stop_reason why, bool stopped) {
  const bool before = !this->stopped_for.empty();
  if (stopped) {
    this->stopped_for.insert(why);
  } else {
    this->stopped_for.erase(why);
  }
  const bool after = !this->stopped_for.empty();
  if (before != after) {
    this->signal(after ? SIGSTOP : SIGCONT);
  }
}

std::optional<std::chrono::nanoseconds> child_process::processor_time() const {
  // The first field of each thread's `schedstat` is its processor time in ns.
  std::chrono::nanoseconds sum{0};
  std::error_code error;
  const std::string threads = "/proc/" + std::to_string(this->id) + "/task";
  for (const auto& thread : std::filesystem::directory_iterator(threads, error)) {
    std::ifstream file(thread.path() / "schedstat");
    std::int64_t used = 0;
    file >> used;
    sum += std::chrono::nanoseconds(used);
  }
  return error || this->ended ? std::nullopt : std::optional(sum);
}

void child_process::kill() {
  this->signal(SIGKILL);
  this->reap(true);
}

bool child_process::running() {
  this->reap(false);
  return !this->ended;
}

std::optional<int> child_process::status() {
  this->reap(false);
  return this->ended;
}

std::optional<std::uint64_t> child_process::status_kb(std::string_view label) const {
  std::ifstream file("/proc/" + std::to_string(this->id) + "/status");
  std::string line;
  while (!this->ended && std::getline(file, line)) {
    if (line.starts_with(label)) {
      return std::stoull(line.substr(label.size()));
    }
  }
  return std::nullopt;
}

std::optional<std::uint64_t> child_process::peak_memory_kb() const {
  return this->status_kb("VmHWM:");
}

std::optional<std::uint64_t> child_process::memory_kb() const { return this->status_kb("VmRSS:"); }

void child_process::reset_peak_memory() const {
  constexpr const char* reset_peak = "5";
  std::ofstream("/proc/" + std::to_string(this->id) + "/clear_refs") << reset_peak;
}

std::size_t child_process::open_descriptors() const {
  std::error_code error;
  const std::filesystem::directory_iterator entries("/proc/" + std::to_string(this->id) + "/fd",
                                                    error);
  return error ? 0 : static_cast<std::size_t>(std::distance(begin(entries), end(entries)));
}

}  // namespace hawthornlane::scenarios

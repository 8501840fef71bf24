// Quotas at a disk host: nothing is granted without the lease, and a grant is answered only
// when it is on disk.
#include "hawthornlane/disk/quota_service.h"

#include <catch2/catch.hpp>
#include <optional>
#include <utility>
#include <vector>

#include "hawthornlane/net/message_bytes.h"

using namespace hawthornlane;
using namespace hawthornlane::disk;

namespace {

constexpr account_limit ten_at_once{1, 10};

/// A quota service restored with a full bucket. The test decides when its disk completes a write.
class quota_service_with_disk {
public:
  quota_service_with_disk() {
    quota_record earlier;
    earlier.bucket_records = {{client_account("north"), ten_at_once, limit_version(1), 10}};
    this->quotas.journal().replay(to_bytes(earlier));
    this->quotas.set_share(1);
  }

  void ask() {
    const quota_request request{client_account("north"), ten_at_once, limit_version(1)};
    this->quotas.serve(to_bytes(request), [this](const std::optional<std::string>& bytes) {
      this->answers.push_back(bytes ? from_bytes<quota_response>(*bytes) : std::nullopt);
    });
  }

  /// Completes the oldest write.
  void write(bool good) {
    auto done = std::move(this->writes.front());
    this->writes.erase(this->writes.begin());
    done(good);
  }

  bool has_lease = true;
  std::vector<std::string> records;
  std::vector<std::function<void(bool good)>> writes;
  std::vector<std::optional<quota_response>> answers;
  quota_service quotas{quota_tolerance{}, this->hooks()};

private:
  quota_hooks hooks() {
    quota_hooks hooks;
    hooks.holds_lease = [this] { return this->has_lease; };
    hooks.append = [this](const std::string& record, std::function<void(bool good)> done) {
      this->records.push_back(record);
      this->writes.push_back(std::move(done));
    };
    hooks.count = [](const std::string&) {};
    return hooks;
  }
};

}  // namespace

TEST_CASE("a quota request without the program, from an older host, is still decoded") {
  quota_request request{client_account("north"), ten_at_once, limit_version(1)};
  const std::string before = to_bytes(request);
  request.program = quota_program{program_key(7), true};
  CHECK(to_bytes(request) == before);
  using told = std::optional<quota_program>;
  CHECK_FALSE((from_bytes_with_tail<quota_request, told>(before)->second));
  const auto both = from_bytes_with_tail<quota_request, told>(before + to_bytes(request.program));
  REQUIRE(both->second);
  CHECK(both->second->begins);
  const std::string cut = to_bytes(request.program).substr(0, 3);
  CHECK_FALSE((from_bytes_with_tail<quota_request, told>(before + cut)));
}

TEST_CASE("without the lease no quota is granted and nothing is written") {
  quota_service_with_disk disk;
  disk.has_lease = false;
  disk.ask();
  REQUIRE(disk.answers.size() == 1);
  CHECK(disk.answers[0]->outcome == quota_outcome::not_kept);
  CHECK(disk.records.empty());
}

TEST_CASE("a grant is answered only after its write completed") {
  struct row {
    std::string name;
    bool written;
  };
  for (const row& item : {row{"written", true}, row{"the disk failed", false}}) {
    INFO(item.name);
    quota_service_with_disk disk;
    disk.ask();
    REQUIRE(disk.answers.empty());
    disk.write(item.written);
    REQUIRE(disk.answers.size() == 1);
    CHECK(disk.answers[0].has_value() == item.written);
  }
}

TEST_CASE("grants made during a write share the next record") {
  quota_service_with_disk disk;
  disk.ask();
  disk.ask();
  disk.ask();
  REQUIRE(disk.records.size() == 1);
  disk.write(true);
  CHECK(disk.answers.size() == 1);
  REQUIRE(disk.records.size() == 2);
  disk.write(true);
  CHECK(disk.answers.size() == 3);
  CHECK(disk.records.size() == 2);
}

TEST_CASE("a malformed quota request is answered with nothing") {
  quota_service_with_disk disk;
  std::optional<std::string> answer = "unanswered";
  disk.quotas.serve("?", [&](std::optional<std::string> bytes) { answer = std::move(bytes); });
  CHECK_FALSE(answer.has_value());
}

TEST_CASE("the written record contains the granted call") {
  quota_service_with_disk before;
  before.ask();
  before.write(true);
  const auto record = from_bytes<quota_record>(before.records[0]);
  REQUIRE(record);
  REQUIRE(record->bucket_records.size() == 1);
  CHECK(record->bucket_records[0].level < ten_at_once.burst);
}

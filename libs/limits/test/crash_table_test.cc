// Tests of the crashes under requests: which requests they make suspected or blocked.
#include "hawthornlane/limits/crash_table.h"

#include <algorithm>
#include <catch2/catch.hpp>
#include <random>
#include <vector>

#include "hawthornlane/limits/answered_requests.h"

using namespace hawthornlane;
using namespace std::chrono_literals;

namespace {

constexpr request_fingerprint first{1, 2, 3};
constexpr request_fingerprint second{1, 2, 4};
constexpr crash_state unconfirmed = crash_state::unconfirmed;
constexpr crash_state confirmed = crash_state::confirmed;
constexpr crash_state cleared = crash_state::cleared;

timestamp at(duration since) { return timestamp(1h + since); }

crash_report report(const request_fingerprint& request, std::vector<crash_mark> crashes,
                    duration age = {}) {
  return {request, std::move(crashes), software_version("v1"), age};
}

crash_mark mark(std::uint64_t server, crash_state state) {
  return {server_process_key(server), state};
}

}  // namespace

TEST_CASE("a request is blocked after three confirmed crashes of different servers") {
  struct row {
    const char* what;
    std::vector<crash_mark> crashes;
    crash_standing standing;
  };
  const row item = GENERATE(values<row>({
      {"none", {}, crash_standing::unsuspected},
      {"one", {mark(1, confirmed)}, crash_standing::suspected},
      {"two", {mark(1, confirmed), mark(2, confirmed)}, crash_standing::suspected},
      {"three",
       {mark(1, confirmed), mark(2, confirmed), mark(3, confirmed)},
       crash_standing::blocked},
      {"the same server three times",
       {mark(1, confirmed), mark(1, confirmed), mark(1, confirmed)},
       crash_standing::suspected},
      {"servers that cannot be reached",
       {mark(1, unconfirmed), mark(2, unconfirmed), mark(3, unconfirmed)},
       crash_standing::suspected},
      {"two and one that was cleared",
       {mark(1, confirmed), mark(2, confirmed), mark(3, confirmed), mark(3, cleared)},
       crash_standing::suspected},
      {"all cleared",
       {mark(1, cleared), mark(1, confirmed), mark(2, cleared)},
       crash_standing::unsuspected},
  }));
  INFO(item.what);
  crash_table table;
  for (const crash_mark& crash : item.crashes) {
    table.merge(report(first, {crash}), at(0s));
  }
  CHECK(table.standing(first) == item.standing);
  CHECK(table.standing(second) == crash_standing::unsuspected);
}

TEST_CASE("reports in any order and number lead to the same standing") {
  std::mt19937_64 random(7);
  for (int history = 0; history < 200; ++history) {
    std::vector<crash_report> reports;
    for (int number = 0; number < 12; ++number) {
      const auto server = random() % 5;
      const auto state = static_cast<crash_state>(random() % 3);
      reports.push_back(report(random() % 2 == 0 ? first : second, {mark(server, state)}));
    }
    crash_table ordered;
    for (const crash_report& item : reports) {
      ordered.merge(item, at(0s));
    }
    crash_table shuffled;
    std::vector<crash_report> again = reports;
    again.insert(again.end(), reports.begin(), reports.end());
    std::shuffle(again.begin(), again.end(), random);
    for (const crash_report& item : again) {
      shuffled.merge(item, at(0s));
    }
    CHECK(ordered.standing(first) == shuffled.standing(first));
    CHECK(ordered.crashed_under(second) == shuffled.crashed_under(second));
    CHECK(ordered.checksum() == shuffled.checksum());
  }
}

TEST_CASE("crashes are forgotten by all hosts at about the same time") {
  crash_table witness;
  witness.merge(report(first, {mark(1, confirmed)}), at(0s));
  crash_table other;
  other.merge(witness.report_of(first, at(5min)), at(5min));
  witness.expire(at(9min));
  other.expire(at(9min));
  CHECK(other.standing(first) == crash_standing::suspected);
  witness.expire(at(10min));
  other.expire(at(10min));
  CHECK(witness.checksum() == 0);
  CHECK(witness.standing(first) == crash_standing::unsuspected);
  CHECK(other.standing(first) == crash_standing::unsuspected);
  CHECK_FALSE(other.merge(report(first, {mark(1, confirmed)}, 10min), at(11min)));
}

TEST_CASE("many suspected requests do not displace a blocked one") {
  crash_table table;
  table.merge(report(first, {mark(1, confirmed), mark(2, confirmed), mark(3, confirmed)}), at(0s));
  for (std::uint64_t number = 0; number < 3 * crash_table::max_requests; ++number) {
    table.merge(report({2, 0, number}, {mark(number, confirmed)}), at(1s));
  }
  CHECK(table.size() == crash_table::max_requests);
  CHECK(table.standing(first) == crash_standing::blocked);
}

TEST_CASE("the crashes stored of one request are bounded") {
  crash_table table;
  for (std::uint64_t number = 0; number < 3 * crash_table::max_marks; ++number) {
    table.merge(report(first, {mark(number, cleared)}), at(0s));
  }
  table.merge(report(first, {mark(1'000'000, confirmed)}), at(0s));
  CHECK(table.report_of(first, at(0s)).crashes.size() == crash_table::max_marks);
  CHECK(table.standing(first) == crash_standing::suspected);
}

TEST_CASE("a request that was answered counts as good for its version and for a minute") {
  answered_requests answered;
  const software_version version("v1");
  answered.add(first, version, at(0s));
  CHECK(answered.contains(first, version, at(59s)));
  CHECK_FALSE(answered.contains(first, software_version("v2"), at(1s)));
  CHECK_FALSE(answered.contains(second, version, at(1s)));
  CHECK_FALSE(answered.contains(first, version, at(60s)));
  answered.add(first, version, at(30s));
  for (std::uint64_t number = 0; number < answered_requests::max_requests; ++number) {
    answered.add({2, 0, number}, version, at(40s));
  }
  CHECK_FALSE(answered.contains(first, version, at(41s)));
}

TEST_CASE("a fingerprint's text has one form only") {
  const request_fingerprint request{0, 0xffffffffffffffff, 0x10};
  CHECK(text_of(request) == "0000000000000000ffffffffffffffff0000000000000010");
  CHECK(fingerprint_from(text_of(request)) == request);
  CHECK_FALSE(fingerprint_from(""));
  CHECK_FALSE(fingerprint_from(text_of(request) + "0"));
  CHECK_FALSE(fingerprint_from("000000000000000x" + text_of(request).substr(16)));
}

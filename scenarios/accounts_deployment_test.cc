// Tests of client accounts, their keys and their quotas with complete hosts and stand-ins.
#include <fmt/format.h>

#include <catch2/catch.hpp>

#include "deployment.h"

using namespace hawthornlane;
using namespace hawthornlane::scenarios;
using namespace std::chrono_literals;

namespace {

constexpr const char* limits_mark = R"("limits":{)";
constexpr auto spread_time = 1500ms;

/// Writes a configuration with these accounts and waits until it is in force.
void configure_accounts(deployment& all, int version, const std::string& accounts) {
  all.configure(version, limits_mark, fmt::format(R"("tenants":[{}],{})", accounts, limits_mark));
  all.run_for(spread_time);
}

std::string account_text(const std::string& name, const std::string& keys, double rate = 0,
                         double burst = 0) {
  return fmt::format(R"({{"name":"{}","api-keys":[{}],"rate-per-s":{},"burst":{}}})", name, keys,
                     rate, burst);
}

bool is_up(deployment& all) {
  return all.run_until([&all] {
    return all.ready(0) && !all.store().spec_of("hawthornlane-hosts", "ledger-set").empty();
  });
}

call_request plain(const std::string& path, const std::string& id, const std::string& key = "") {
  call_request call;
  call.path = path;
  call.id = id;
  call.body = "input";
  if (!key.empty()) {
    call.headers.push_back({"Authorization", "Bearer " + key});
  }
  return call;
}

/// Requests with that id, whichever server received them.
std::vector<http::request> arrivals_of(const deployment& all, const std::string& id) {
  std::vector<http::request> found;
  for (const auto* group : {&all.apps, &all.engines}) {
    for (const auto& server : *group) {
      for (const auto& arrival : server->arrivals()) {
        if (arrival.request.find_header("X-Request-Id") == id) {
          found.push_back(arrival.request);
        }
      }
    }
  }
  return found;
}

std::size_t count_of(const http::request& request, const std::string& name) {
  return static_cast<std::size_t>(
      std::count_if(request.headers.begin(), request.headers.end(),
                    [&](const http::header& item) { return item.name == name; }));
}

}  // namespace

TEST_CASE("a caller is identified by its key, and servers receive only the account's name") {
  deployment all({1, 3, 1, 1});
  REQUIRE(is_up(all));
  configure_accounts(
      all, 2, account_text("north", R"("n-1","n-2")") + "," + account_text("south", R"("s-1")"));
  struct row {
    const char* what;
    const char* authorization;
    int status;
    const char* account;
  };
  const row rows[] = {
      {"a key", "Bearer n-1", 200, "north"},
      {"another key of the account", "bearer n-2", 200, "north"},
      {"another account's key", "Bearer s-1", 200, "south"},
      {"a key of no account", "Bearer n-3", 401, ""},
      {"another scheme", "Basic n-1", 401, ""},
      {"a scheme alone", "Bearer ", 401, ""},
      {"no header", nullptr, 401, ""},
  };
  int number = 0;
  for (const row& item : rows) {
    INFO(item.what);
    const std::string id = "key-" + std::to_string(++number);
    call_request call = plain("/once/x", id);
    call.headers.push_back({"X-Tenant", "forged"});
    if (item.authorization != nullptr) {
      call.headers.push_back({"Authorization", item.authorization});
    }
    const call_result result = all.call(0, call);
    CHECK(result.status == item.status);
    const auto arrived = arrivals_of(all, id);
    REQUIRE(arrived.size() == (item.status == 200 ? 1 : 0));
    if (!arrived.empty()) {
      CHECK(arrived[0].find_header("X-Tenant") == item.account);
      CHECK(count_of(arrived[0], "X-Tenant") == 1);
      CHECK_FALSE(arrived[0].find_header("Authorization"));
    }
  }
}

TEST_CASE("a public route requires no key and forwards none") {
  deployment all({1, 3, 1, 1});
  REQUIRE(is_up(all));
  std::string text = configuration_of(2);
  const std::string mark = R"("kind":"unsafe")";
  text.replace(text.find(mark), mark.size(), mark + R"(,"public":true)");
  text.replace(text.find(limits_mark), 0,
               R"("tenants":[)" + account_text("north", R"("n-1")") + "],");
  all.store().put("config", "main", text);
  all.run_for(spread_time);
  CHECK(all.call(0, plain("/once/x", "open")).status == 200);
  CHECK(all.call(0, plain("/once/x", "wrong", "n-9")).status == 200);
  CHECK(all.call(0, plain("/once/x", "known", "n-1")).status == 200);
  CHECK(all.call(0, plain("/safe/x", "closed")).status == 401);
  for (const char* id : {"open", "wrong", "known"}) {
    INFO(id);
    REQUIRE(arrivals_of(all, id).size() == 1);
    CHECK_FALSE(arrivals_of(all, id)[0].find_header("Authorization"));
  }
  CHECK(arrivals_of(all, "known")[0].find_header("X-Tenant") == "north");
  CHECK_FALSE(arrivals_of(all, "open")[0].find_header("X-Tenant"));
}

TEST_CASE("removed keys are rejected at every host and on reused connections") {
  deployment all({2, 3, 1, 1});
  REQUIRE(is_up(all));
  configure_accounts(all, 2, account_text("north", R"("n-1","n-2")"));
  REQUIRE(all.call(0, plain("/once/x", "before", "n-1")).status == 200);
  configure_accounts(all, 3, account_text("north", R"("n-2")"));
  for (int front : {0, 1}) {
    CHECK(all.call(front, plain("/once/x", fmt::format("old-{}", front), "n-1")).status == 401);
    CHECK(all.call(front, plain("/once/x", fmt::format("new-{}", front), "n-2")).status == 200);
  }
  // The last key is removed: the account stays without any key.
  configure_accounts(all, 4, account_text("north", ""));
  CHECK(all.call(0, plain("/once/x", "none", "n-2")).status == 401);
}

TEST_CASE("a list of accounts that share a key does not replace the one in force") {
  deployment all({1, 3, 1, 1});
  REQUIRE(is_up(all));
  configure_accounts(all, 2, account_text("north", R"("n-1")"));
  configure_accounts(all, 3,
                     account_text("north", R"("n-2")") + "," + account_text("south", R"("n-2")"));
  CHECK(all.call(0, plain("/once/x", "kept", "n-1")).status == 200);
  CHECK(all.call(0, plain("/once/x", "refused", "n-2")).status == 401);
}

TEST_CASE("a turn cannot be continued by another account") {
  deployment all({1, 3, 1, 1});
  REQUIRE(is_up(all));
  configure_accounts(all, 2,
                     account_text("north", R"("n-1")") + "," + account_text("south", R"("s-1")"));
  const auto turn = [&](const std::string& id, const std::string& previous,
                        const std::string& key) {
    call_request call = turn_request_of("/kept/x", id, "p", previous, 1000);
    call.headers.push_back({"Authorization", "Bearer " + key});
    return all.call(0, call);
  };
  REQUIRE(turn("first", "", "n-1").status == 200);
  CHECK(turn("stolen", "first", "s-1").status == 404);
  CHECK(arrivals_of(all, "stolen").empty());
  CHECK(turn("own", "first", "n-1").status == 200);
  // The turn stays hidden when it is read from disk, and also from an id that is written like the
  // other account's key of the turn.
  all.kill_front(0);
  all.start_front(0);
  REQUIRE(is_up(all));
  CHECK(turn("from-disk", "first", "s-1").status == 404);
  CHECK(turn("look-alike", "5:north/first", "s-1").status == 404);
  CHECK(turn("own-from-disk", "first", "n-1").status == 200);
}

TEST_CASE("two accounts with the same program name have separate budgets") {
  deployment all({1, 3, 1, 1});
  REQUIRE(is_up(all));
  configure_accounts(all, 2,
                     account_text("north", R"("n-1")") + "," + account_text("south", R"("s-1")"));
  // Each turn generates 30 tokens, which is the whole budget.
  const auto spend = [&](const std::string& id, const std::string& key) {
    call_request call = turn_request_of("/kept/x", id, "same", "", 30);
    call.headers.push_back({"Authorization", "Bearer " + key});
    return all.call(0, call).status;
  };
  CHECK(spend("north-1", "n-1") == 200);
  CHECK(spend("south-1", "s-1") == 200);
  CHECK(spend("north-2", "n-1") == 402);
}

TEST_CASE("calls beyond an account's quota are not run and refused at once with Retry-After") {
  deployment all({2, 3, 1, 1});
  REQUIRE(is_up(all));
  constexpr int rate = 10;
  constexpr int burst = 9;
  configure_accounts(
      all, 2,
      account_text("north", R"("n-1")", rate, burst) + "," + account_text("south", R"("s-1")"));
  constexpr int calls = 60;
  int served = 0;
  const auto began = std::chrono::steady_clock::now();
  for (int number = 0; number < calls; ++number) {
    const std::string id = "q-" + std::to_string(number);
    const call_result result = all.call(number % 2, plain("/once/x", id, "n-1"));
    INFO(id << ": " << result.status);
    const bool is_served = result.status == 200;
    served += is_served ? 1 : 0;
    CHECK(arrivals_of(all, id).size() == (is_served ? 1U : 0U));
    if (!is_served) {
      CHECK(result.status == 429);
      CHECK(result.header("Retry-After"));
      CHECK(result.took < 300ms);
    }
  }
  const std::chrono::duration<double> took = std::chrono::steady_clock::now() - began;
  CHECK(served <= burst + 1 + rate * took.count());
  CHECK(served >= burst - 1);
  // Another account is not affected, and the refused one is served again later.
  CHECK(all.call(0, plain("/once/x", "beside", "s-1")).status == 200);
  all.run_for(1s);
  CHECK(all.call(0, plain("/once/x", "later", "n-1")).status == 200);
}

TEST_CASE("a quota works without one quota manager, and no call is run without all of them") {
  deployment all({1, 3, 1, 1});
  REQUIRE(is_up(all));
  configure_accounts(all, 2, account_text("north", R"("n-1")", 20, 20));
  all.kill_disk(0);
  int served = 0;
  for (int number = 0; number < 12; ++number) {
    const std::string id = "k-" + std::to_string(number);
    served += all.call(0, plain("/once/x", id, "n-1")).status == 200 ? 1 : 0;
  }
  CHECK(served >= 10);
  all.kill_disk(1);
  all.kill_disk(2);
  all.run_for(500ms);
  const call_result result = all.call(0, plain("/once/x", "nobody", "n-1"));
  CHECK(result.status == 503);
  CHECK(result.header("Retry-After"));
  CHECK(arrivals_of(all, "nobody").empty());
}

TEST_CASE("a restart of all quota managers neither refills nor drops an account's burst") {
  deployment all({1, 3, 1, 1});
  REQUIRE(is_up(all));
  configure_accounts(
      all, 2,
      account_text("north", R"("n-1")", 1, 24) + "," + account_text("south", R"("s-1")", 1, 24));
  // The full burst of 24 is available 24 s after the quota managers start, which is too long
  // to wait for in a test.
  const auto served_of = [&](const std::string& name, const std::string& key, int calls) {
    int served = 0;
    for (int number = 0; number < calls; ++number) {
      const std::string id = name + std::to_string(number);
      served += all.call(0, plain("/once/x", id, key)).status == 200 ? 1 : 0;
    }
    return served;
  };
  all.run_for(5s);
  REQUIRE(served_of("spent-", "n-1", 30) >= 5);
  for (int disk : {0, 1, 2}) {
    all.kill_disk(disk);
  }
  for (int disk : {0, 1, 2}) {
    all.start_disk(disk);
  }
  REQUIRE(all.run_until([&] { return all.call(0, plain("/once/x", "up", "s-1")).status == 200; }));
  CHECK(served_of("again-", "n-1", 10) <= 3);
  CHECK(served_of("kept-", "s-1", 4) == 4);
}

TEST_CASE("started programs continue, and others start only if the quota has room for them") {
  deployment all({1, 3, 2, 2});
  REQUIRE(is_up(all));
  const auto begin = [&](const std::string& program) {
    call_request call = turn_request_of("/resumed/x", program + "-turn", program, "", 1000);
    call.headers.push_back({"Authorization", "Bearer n-1"});
    return all.call(0, call).status;
  };
  const auto go_on = [&](const std::string& program, int number) {
    call_request call = plain("/once/x", fmt::format("{}-tool-{}", program, number), "n-1");
    call.headers.push_back({"X-Program-Id", program});
    return all.call(0, call).status;
  };
  // The quota managers learn that a program makes four calls.
  configure_accounts(all, 2, account_text("north", R"("n-1")", 2000, 600));
  for (int number = 0; number < 40; ++number) {
    const std::string program = fmt::format("early-{}", number);
    REQUIRE(begin(program) == 200);
    for (int call = 0; call < 3; ++call) {
      REQUIRE(go_on(program, call) == 200);
    }
  }
  // Each of three quota managers allows two calls and has almost no refill: room for one program
  // each.
  configure_accounts(all, 3, account_text("north", R"("n-1")", 0.05, 6));
  int begun = 0;
  for (const char* program : {"one", "two", "three"}) {
    begun += begin(program) == 200 ? 1 : 0;
  }
  CHECK(begun == 3);
  CHECK(begin("four") == 429);
  CHECK(arrivals_of(all, "four-turn").empty());
  for (const char* program : {"one", "two", "three"}) {
    CHECK(go_on(program, 0) == 200);
  }
  CHECK(go_on("one", 1) == 429);
}

// Tests of document generations.
#include "hawthornlane/rollout/rollout_core.h"

#include <catch2/catch.hpp>

using namespace hawthornlane;

namespace {
const service_name service("diagnosis");
const timestamp now{};
}  // namespace

TEST_CASE("a generation only rises, whatever is offered in whatever order") {
  struct offered {
    std::uint64_t at;
    std::string text;
    offer_outcome outcome;
    std::string in_force;
  };
  const auto row = GENERATE(values<offered>({
      {4, "newer", offer_outcome::adopted, "newer"},
      {3, "current", offer_outcome::already_in_force, "current"},
      {3, "other text", offer_outcome::conflicting_ignored, "current"},
      {2, "older", offer_outcome::older_ignored, "current"},
      {0, "restored", offer_outcome::older_ignored, "current"},
  }));
  rollout_core core;
  REQUIRE(core.offer(service, generation(3), "current", now) == offer_outcome::adopted);
  CHECK(core.offer(service, generation(row.at), row.text, now) == row.outcome);
  CHECK(core.documents().at(service).text == row.in_force);
}

TEST_CASE("digests agree exactly when generations and texts agree") {
  rollout_core left;
  rollout_core right;
  CHECK(left.digest() == right.digest());
  left.offer(service, generation(1), "a", now);
  CHECK(left.digest() != right.digest());
  right.offer(service_name("summaries"), generation(1), "b", now);
  right.offer(service, generation(1), "a", now);
  left.offer(service_name("summaries"), generation(1), "b", now);
  CHECK(left.digest() == right.digest());
  right.offer(service, generation(2), "a", now);
  CHECK(left.digest() != right.digest());
}

TEST_CASE("a peer is sent exactly what it lacks") {
  rollout_core core;
  core.offer(service, generation(2), "a", now);
  core.offer(service_name("summaries"), generation(5), "b", now);
  CHECK(core.newer_than({{service, generation(2)}}) ==
        std::vector<service_name>{service_name("summaries")});
  CHECK(core.newer_than({{service, generation(1)}, {service_name("summaries"), generation(6)}}) ==
        std::vector<service_name>{service});
}

TEST_CASE("a host is not ready before it has heard current generations") {
  rollout_core core;
  core.offer(service, generation(1), "a", now);
  CHECK_FALSE(core.ready());
  core.mark_complete();
  CHECK(core.ready());
}

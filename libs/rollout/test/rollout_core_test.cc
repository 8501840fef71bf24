// Tests of document generations.
#include "hawthornlane/rollout/rollout_core.h"

#include <catch2/catch.hpp>

using namespace hawthornlane;

namespace {
const service_name service("diagnosis");
const timestamp now{};
}  // namespace

// Guards against a stale cache or a restored store that replaces a newer document.
TEST_CASE("an older or conflicting document does not replace the one in force") {
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

// Guards against equal digests for different documents, and against digests that depend on the
// order in which a host adopted its documents.
TEST_CASE("digests are equal exactly when generations and texts are equal") {
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

// Guards against sending documents that the peer has, or leaving out missing or older ones.
TEST_CASE("a peer is sent exactly the documents that it lacks") {
  rollout_core core;
  core.offer(service, generation(2), "a", now);
  core.offer(service_name("summaries"), generation(5), "b", now);
  CHECK(core.newer_than({{service, generation(2)}}) ==
        std::vector<service_name>{service_name("summaries")});
  CHECK(core.newer_than({{service, generation(1)}, {service_name("summaries"), generation(6)}}) ==
        std::vector<service_name>{service});
}

// Guards against a host that serves with possibly outdated documents after its start.
TEST_CASE("a host is not ready before it has received the current generations") {
  rollout_core core;
  core.offer(service, generation(1), "a", now);
  CHECK_FALSE(core.ready());
  core.mark_complete();
  CHECK(core.ready());
}

// The statuses of the error responses that a test lets a stand-in for a backend server send.
#pragma once

#include "hawthornlane/stand_ins/scripted_backend.h"

namespace hawthornlane::stand_ins {

inline constexpr int misdirected = 421;
inline constexpr int overloaded = 503;
inline constexpr int deadline_passed = 504;

/// The status of a behavior that fails with an error response; 0 for all others.
inline int failure_status(backend_behavior behavior) {
  switch (behavior) {
    case backend_behavior::fail_408:
      return 408;
    case backend_behavior::fail_429:
      return 429;
    case backend_behavior::fail_500:
      return 500;
    case backend_behavior::fail_503:
      return 503;
    case backend_behavior::fail_504:
      return 504;
    default:
      return 0;
  }
}

/// The status of a behavior that refuses the request without running it; 0 for all others.
inline int refusal_status(backend_behavior behavior) {
  switch (behavior) {
    case backend_behavior::shed:
      return 503;
    case backend_behavior::shed_as_too_many:
      return 429;
    case backend_behavior::misdirect:
      return misdirected;
    default:
      return 0;
  }
}

}  // namespace hawthornlane::stand_ins

// Builds valid configuration documents for tests and benchmarks.
#ifndef ENDIVECLEAT_TEST_DOCUMENT_MAKER_H_
#define ENDIVECLEAT_TEST_DOCUMENT_MAKER_H_

#include <nlohmann/json.hpp>
#include <string>

#include "seeded_random.h"

namespace endivecleat::test {

/// A document with one preset, "ordinary", that has one service and one route.
inline nlohmann::json SmallDocument() {
  return nlohmann::json::parse(R"({"presets": {"ordinary": {
    "services": {"portal-ayto": {"targets": ["portal-ayto-*"], "slots": 9, "queue_wait_ms": 100}},
    "routes": [{"name": "bins", "path_prefix": "/bins", "methods": ["GET"],
                "service": "portal-ayto", "idempotent": true}]}}})");
}

/// A document with the presets "ordinary", "peak" and "maintenance". Each has `services` services
/// with one route per service. The policy values are pseudo-random, since those of a real document
/// differ from service to service.
inline nlohmann::json LargeDocument(size_t services, uint64_t seed) {
  SeededRandom random(seed);
  nlohmann::json document;
  document["preset_in_force"] = "ordinary";
  for (const char* preset : {"ordinary", "peak", "maintenance"}) {
    nlohmann::json& preset_document = document["presets"][preset];
    preset_document["routes"] = nlohmann::json::array();
    for (size_t number = 0; number < services; ++number) {
      const std::string name = "service-" + std::to_string(number);
      const bool is_read = random.Chance(70);
      preset_document["services"][name] = {{"targets", {name + "-*"}},
                                           {"slots", 4 + random.Below(20)},
                                           {"connections", 100 + random.Below(100)},
                                           {"queue_wait_ms", 50 + 10 * random.Below(20)},
                                           {"timeout_ms", 1000 + 500 * random.Below(8)}};
      preset_document["routes"].push_back({{"name", "route-" + std::to_string(number)},
                                           {"path_prefix", "/" + name},
                                           {"methods", {is_read ? "GET" : "POST"}},
                                           {"service", name},
                                           {"idempotent", is_read},
                                           {"at_most_once", !is_read}});
    }
  }
  return document;
}

}  // namespace endivecleat::test

#endif  // ENDIVECLEAT_TEST_DOCUMENT_MAKER_H_

// Guards against a diff that misses a difference, or reports one where only the order or the
// formatting differs.
#include "configuration_diff.h"

#include <CppUTest/TestHarness.h>

#include "document_maker.h"

using endivecleat::DiffDocuments;
using endivecleat::FormatDifferences;

TEST_GROUP(ConfigurationDiffSmall) {
  nlohmann::json before = endivecleat::test::SmallDocument();
  nlohmann::json after = before;
  nlohmann::json& ordinary = after["presets"]["ordinary"];

  static nlohmann::json ElementNamed(const char* name) {
    return nlohmann::json::object({{"name", name}});
  }
  void ExpectDiff(const char* lines) {
    STRCMP_EQUAL(lines, FormatDifferences(DiffDocuments(before.dump(), after.dump(2))).c_str());
  }
};

TEST(ConfigurationDiffSmall, IsEmptyIfOnlyOrderOrFormattingDiffers) {
  ExpectDiff("");
  ordinary["routes"].insert(ordinary["routes"].begin(), ElementNamed("a"));
  before["presets"]["ordinary"]["routes"].push_back(ElementNamed("a"));
  ExpectDiff("");
}

TEST(ConfigurationDiffSmall, ListsAddedRemovedAndChangedValues) {
  ordinary["services"]["portal-ayto"]["slots"] = 12;
  ordinary["services"]["portal-ayto"]["timeout_ms"] = 500;
  ordinary["services"]["portal-ayto"].erase("queue_wait_ms");
  ordinary["routes"][0]["methods"] = {"GET", "HEAD"};
  ordinary["routes"].insert(ordinary["routes"].begin(), ElementNamed("a/b"));
  ExpectDiff(
      "+ /presets/ordinary/routes/name=a~1b: {\"name\":\"a/b\"}\n"
      "~ /presets/ordinary/routes/name=bins/methods: [\"GET\"] -> [\"GET\",\"HEAD\"]\n"
      "- /presets/ordinary/services/portal-ayto/queue_wait_ms: 100\n"
      "~ /presets/ordinary/services/portal-ayto/slots: 9 -> 12\n"
      "+ /presets/ordinary/services/portal-ayto/timeout_ms: 500\n");
}

TEST(ConfigurationDiffSmall, ComparedToEmptyTextIsOneDifference) {
  LONGS_EQUAL(1, DiffDocuments("", before.dump()).size());
}

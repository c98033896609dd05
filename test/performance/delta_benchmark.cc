// Compares the size of one change as full text, compressed text, JSON Patch and zstd delta, and
// measures the time to make and apply a delta and to parse, check and compile a document, for
// documents of 10, 100 and 1,000 services in three presets.
#include "configuration.h"
#include "delta.h"
#include "document_maker.h"
#include "performance/benchmark_output.h"

using endivecleat::ApplyDelta;
using endivecleat::CompileStored;
using endivecleat::ConfigVersion;
using endivecleat::kMaxDocumentBytes;
using endivecleat::MakeDelta;
using endivecleat::MakeSnapshot;
using endivecleat::test::LargeDocument;
using endivecleat::test::MedianSeconds;
using endivecleat::test::PrintMeasurement;

namespace {

constexpr uint64_t kSeed = 1;
constexpr int kRounds = 15;
constexpr double kMicroseconds = 1e6;

void PrintChange(const std::string& change, const nlohmann::json& before,
                 const nlohmann::json& after, size_t services) {
  const std::string base = before.dump();
  const std::string next = after.dump();
  const std::string delta = MakeDelta(base, next);
  const auto print = [&](const std::string& form, double value, const char* unit) {
    PrintMeasurement("delta/" + change + "/" + form, value, unit, services, kSeed);
  };
  print("full_text", static_cast<double>(next.size()), "bytes");
  print("zstd_whole", static_cast<double>(MakeSnapshot(next).size()), "bytes");
  print("json_patch", static_cast<double>(nlohmann::json::diff(before, after).dump().size()),
        "bytes");
  print("zstd_prefix", static_cast<double>(delta.size()), "bytes");
  print("make_delta", kMicroseconds * MedianSeconds(kRounds, [&] { MakeDelta(base, next); }), "us");
  print("apply_delta",
        kMicroseconds * MedianSeconds(kRounds, [&] { ApplyDelta(base, delta, kMaxDocumentBytes); }),
        "us");
}

void PrintChanges(size_t services) {
  const nlohmann::json before = LargeDocument(services, kSeed);
  nlohmann::json value_changed = before;
  value_changed["presets"]["peak"]["services"]["service-5"]["slots"] = 31;
  PrintChange("one_figure", before, value_changed, services);
  nlohmann::json route = before;
  nlohmann::json added = route["presets"]["ordinary"]["routes"][services / 2];
  added["name"] = "added";
  added["path_prefix"] = "/added";
  route["presets"]["ordinary"]["routes"].push_back(added);
  PrintChange("route_added", before, route, services);
  nlohmann::json preset = before;
  preset["preset_in_force"] = "peak";
  PrintChange("preset_switch", before, preset, services);
}

}  // namespace

int main() {
  for (const size_t services : {10, 100, 1'000}) {
    PrintChanges(services);
    const std::string text = LargeDocument(services, kSeed).dump();
    const double seconds = MedianSeconds(kRounds, [&] { CompileStored(text, ConfigVersion(1)); });
    PrintMeasurement("configuration/parse_check_compile", kMicroseconds * seconds, "us", services,
                     kSeed);
  }
}

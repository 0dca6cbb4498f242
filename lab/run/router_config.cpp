#include "lab/run/router_config.h"

#include <rapidjson/stringbuffer.h>
#include <rapidjson/writer.h>

#include <algorithm>
#include <cstdio>
#include <numeric>
#include <string_view>
#include <vector>

#include "lab/base/rng.h"

namespace brasswood::lab {
namespace {

constexpr std::string_view kEffects[] = {"free", "guarded", "single_shot"};
// Settings that no scenario changes, in ns.
constexpr std::int64_t kConnectTimeout = 200'000'000;
constexpr std::int64_t kIdleTime = 5'000'000'000;
constexpr std::int64_t kAskWithin = 10'000'000'000;
constexpr std::int64_t kRoundTime = 5'000'000;

class RouterConfigWriter {
 public:
  RouterConfigWriter(const Scenario& scenario, const RouterIdentity& router)
      : scenario_(scenario), router_(router) {}

  std::string Write() {
    json_.StartObject();
    String("name", "n" + std::to_string(router_.number));
    String("listen", router_.listen);
    String("discovery", router_.discovery);
    WriteSeed();
    WriteLimits();
    json_.Key("known");
    json_.RawValue(router_.known.data(), router_.known.size(), rapidjson::kObjectType);
    WriteSettings();
    json_.EndObject();
    return {text_.GetString(), text_.GetSize()};
  }

 private:
  void String(const char* key, std::string_view value) {
    json_.Key(key);
    json_.String(value.data(), static_cast<rapidjson::SizeType>(value.size()));
  }
  void Number(const char* key, double value) {
    json_.Key(key);
    json_.Double(value);
  }
  void Integer(const char* key, std::int64_t value) {
    json_.Key(key);
    json_.Int64(value);
  }
  void Flag(const char* key, bool value) {
    json_.Key(key);
    json_.Bool(value);
  }
  void Strings(const char* key, const std::vector<std::string>& values) {
    json_.Key(key);
    json_.StartArray();
    for (const std::string& value : values) json_.String(value.c_str());
    json_.EndArray();
  }
  void Open(const char* key) {
    json_.Key(key);
    json_.StartObject();
  }

  void WriteSeed() {
    char seed[20];
    std::snprintf(seed, sizeof seed, "%016llx",
                  static_cast<unsigned long long>(Mix(scenario_.seed * 1009 + router_.process)));
    String("seed", seed);
  }

  void WriteLimits() {
    Open("limits");
    Number("cores", 1);
    Number("memory_mb", scenario_.routers.memory_mb);
    Integer("sockets", scenario_.routers.sockets);
    json_.EndObject();
  }

  // The kinds of machines; the origin's comes last.
  std::vector<std::string> MachineKinds() const {
    std::vector<std::string> kinds;
    for (const NodePlan& node : scenario_.nodes) {
      if (std::find(kinds.begin(), kinds.end(), node.kind) == kinds.end()) kinds.push_back(node.kind);
    }
    kinds.emplace_back("origin");
    return kinds;
  }

  void WriteSettings() {
    const std::vector<std::string> kinds = MachineKinds();
    Open("settings");
    Integer("balancers", static_cast<std::int64_t>(scenario_.halls.size()) * scenario_.routers.per_hall);
    Integer("me", router_.number);
    Integer("locality", router_.number / scenario_.routers.per_hall);
    Strings("zones", scenario_.halls);
    Strings("shapes", kinds);
    String("registry_mode", scenario_.discovery.pushed ? "pushed" : "on_request");
    String("weights", scenario_.discovery.states_size ? "nominal" : "none");
    String("worth_by", "request");
    Number("over_share_worth", 0.1);
    WriteClasses();
    WriteTenants();
    WriteOrigin(static_cast<std::int64_t>(kinds.size()) - 1);
    Open("telemetry");
    String("source", "none");
    json_.EndObject();
    WriteAllowed();
    WriteRules();
    WriteFees();
    Integer("round", kRoundTime);
    json_.EndObject();
  }

  void WriteClasses() {
    json_.Key("classes");
    json_.StartArray();
    for (const ClassPlan& plan : scenario_.classes) {
      json_.StartObject();
      String("name", plan.name);
      String("effect", kEffects[static_cast<std::size_t>(plan.repeats)]);
      String("dedup_scope", "all");
      Integer("aim", plan.aim.count());
      Integer("give_up", plan.give_up.count());
      Integer("window", plan.window.count());
      Number("points", plan.worth);
      Number("late_value", 0);
      json_.EndObject();
    }
    json_.EndArray();
  }

  void WriteTenants() {
    const double all =
        std::accumulate(scenario_.tenants.begin(), scenario_.tenants.end(), 0.0,
                        [](double sum, const TenantPlan& tenant) { return sum + tenant.share; });
    json_.Key("tenants");
    json_.StartArray();
    for (const TenantPlan& tenant : scenario_.tenants) {
      json_.StartObject();
      String("name", tenant.name);
      Number("portion", tenant.share / all);
      Number("allowance_per_s", 1.5 * scenario_.load.rate * tenant.share / all);
      json_.EndObject();
    }
    json_.EndArray();
  }

  void WriteOrigin(std::int64_t kind) {
    Open("family_info");
    String("mode", "aside");
    Integer("origin_kind", kind);
    Number("origin_fall_multiple", scenario_.origin.fall_multiple);
    Integer("origin_fall", scenario_.origin.fall.count());
    json_.EndObject();
  }

  void WriteAllowed() {
    Open("allowed");
    Flag("cancel", true);
    Flag("probes", true);
    Flag("retry_after", true);
    Integer("max_attempts", scenario_.rules.max_attempts);
    Integer("max_retry_after", scenario_.rules.max_retry_after.count());
    Integer("connect_timeout", kConnectTimeout);
    Integer("conn_idle", kIdleTime);
    Integer("open_cap", 20000);
    json_.EndObject();
  }

  void WriteRules() {
    const RulePlan& rules = scenario_.rules;
    Open("safety");
    Integer("answer_slack", rules.answer_slack.count());
    Integer("ask_within", kAskWithin);
    Integer("drain_grace", rules.drain_grace.count());
    Number("cold_from", rules.cold_from);
    Integer("ramp_time", rules.ramp.count());
    Number("fall_multiple", rules.fall_multiple);
    Integer("fall", rules.fall.count());
    json_.EndObject();
  }

  void WriteFees() {
    Open("fees");
    Number("cross_zone", scenario_.halls.size() > 1 ? scenario_.rules.cross_price : 0);
    Number("waste", 0.04);
    Number("origin", 0.03);
    Number("probe", 0.01);
    Number("late_fail", 0.028);
    json_.EndObject();
  }

  const Scenario& scenario_;
  const RouterIdentity& router_;
  rapidjson::StringBuffer text_;
  rapidjson::Writer<rapidjson::StringBuffer> json_{text_};
};

}  // namespace

std::string FormatRouterConfig(const Scenario& scenario, const RouterIdentity& router) {
  return RouterConfigWriter(scenario, router).Write();
}

}  // namespace brasswood::lab

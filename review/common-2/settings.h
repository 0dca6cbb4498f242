// The settings of two small deployments in the form of the operators' wire page: the mirror of the first
// operators (kigali-mirror: discovery is asked) and the second operators' one (jonkoping-lager: lists are
// pushed to an agent).
#ifndef REVIEW_COMMON_2_SETTINGS_H_
#define REVIEW_COMMON_2_SETTINGS_H_

#include <string>

namespace review {

inline const char* const kKigaliSettings =
    R"({"allowed":{"cancel":true,"conn_idle":5000000000,"connect_timeout":200000000,"cpu_us_per_request":0.0,)"
    R"("cpu_us_per_s":800000,"max_attempts":5,"max_retry_after":2000000000,"open_cap":20000,)"
    R"("parallel_tries":false,"peers":false,"probes":true,"retry_after":true,"streams_per_conn":100},)"
    R"("balancers":2,"blend":{"whole":0.5,"worst_class":0.1,"worst_tenant":0.1,"worst_window":0.3},)"
    R"("callers":{"marks_retry":false},"classes":[)"
    R"({"aim":1500000000,"dedup_scope":"all","effect":"free","give_up":2500000000,"late_value":0.0,)"
    R"("name":"get-tarball","points":5.0,"stream":false,"window":5000000000},)"
    R"({"aim":1500000000,"dedup_scope":"all","effect":"free","give_up":3000000000,"late_value":0.0,)"
    R"("name":"get-versions","points":2.0,"stream":false,"window":5000000000},)"
    R"({"aim":1000000000,"dedup_scope":"all","effect":"single_shot","give_up":4000000000,"late_value":0.0,)"
    R"("name":"publish","points":3.0,"stream":false,"window":5000000000},)"
    R"({"aim":750000000,"dedup_scope":"all","effect":"guarded","give_up":1500000000,"late_value":0.0,)"
    R"("name":"yank-version","points":3.0,"stream":false,"window":7500000000}],)"
    R"("family_info":{"mode":"aside","origin_fall":3000000000,"origin_fall_multiple":2.5,"origin_kind":3},)"
    R"("fees":{"cross_zone":0.13,"late_fail":0.028,"origin":0.03,"probe":0.01,"waste":0.04},)"
    R"("kind_of_service":"cache","layer":0,"layers":["pkg-cache"],"locality":0,"me":0,)"
    R"("over_share_worth":0.1,"registry_mode":"on_request","round":5000000,)"
    R"("safety":{"answer_slack":20000000,"ask_within":10000000000,"cold_from":0.12,)"
    R"("drain_grace":1000000000,"fall":2000000000,"fall_multiple":4.0,"ramp_time":24000000000},)"
    R"("shapes":["fast-5","std-6","slow-6","origin"],"telemetry":{"columns":[],"source":"none"},)"
    R"("tenants":[{"allowance_per_s":173.0,"name":"umurage-bank","portion":0.62},)"
    R"({"allowance_per_s":106.0,"name":"community","portion":0.38}],)"
    R"("weights":"nominal","worth_by":"request","zones":["gikondo","remera"]})";

inline const char* const kJonkopingSettings =
    R"({"allowed":{"cancel":true,"conn_idle":10000000000,"connect_timeout":50000000,)"
    R"("cpu_us_per_request":0.0,"cpu_us_per_s":500000,"max_attempts":3,"max_retry_after":800000000,)"
    R"("open_cap":20000,"parallel_tries":false,"peers":false,"probes":true,"retry_after":true,)"
    R"("streams_per_conn":32},"balancers":3,"callers":{"marks_retry":true},"classes":[)"
    R"({"aim":300000000,"dedup_scope":"all","effect":"free","give_up":1200000000,"late_value":0.0,)"
    R"("name":"bin-lookup","points":2.0,"stream":false,"window":5000000000},)"
    R"({"aim":300000000,"dedup_scope":"all","effect":"free","give_up":800000000,"late_value":0.0,)"
    R"("name":"stock-peek","points":1.0,"stream":false,"window":5000000000},)"
    R"({"aim":300000000,"dedup_scope":"all","effect":"single_shot","give_up":1500000000,"late_value":0.0,)"
    R"("name":"pick-confirm","points":10.0,"stream":false,"window":5000000000},)"
    R"({"aim":150000000,"dedup_scope":"all","effect":"guarded","give_up":300000000,"late_value":0.0,)"
    R"("name":"bin-move","points":3.0,"stream":false,"window":150000000}],)"
    R"("family_info":{"mode":"aside","origin_fall":3000000000,"origin_fall_multiple":3.0,"origin_kind":3},)"
    R"("fees":{"cross_zone":0.015,"late_fail":0.08,"probe":0.0067,"waste":0.12},)"
    R"("kind_of_service":"cache","layer":0,"layers":["plockcache"],"locality":0,"me":0,)"
    R"("over_share_worth":1.0,"registry_mode":"pushed","round":2000000,)"
    R"("safety":{"answer_slack":20000000,"ask_within":10000000000,"cold_from":0.34,)"
    R"("drain_grace":500000000,"fall":1500000000,"fall_multiple":3.0,"ramp_time":8500000000},)"
    R"("shapes":["kind-fast","kind-std","kind-slow","origin"],"telemetry":{"columns":["eps","inflight","x0"],)"
    R"("source":"answers"},"tenants":[],)"
    R"("weights":"live","worth_by":"work","zones":["hall-a","hall-b","hall-c"]})";

// The configuration of a router. `admin`: the operators' door; empty: none.
inline std::string Config(const std::string& name, const std::string& listen, const std::string& discovery,
                          const std::string& known, const std::string& settings,
                          const std::string& admin = "") {
  return "{\"name\":\"" + name + "\",\"listen\":\"" + listen + "\",\"discovery\":\"" + discovery +
         "\",\"seed\":\"8c1f30d27a5be964\"," + (admin.empty() ? "" : "\"admin_addr\":\"" + admin + "\",") +
         "\"limits\":{\"cores\":1.0,\"memory_mb\":192,\"sockets\":1024},\"known\":" + known +
         ",\"settings\":" + settings + "}";
}

}  // namespace review

#endif  // REVIEW_COMMON_2_SETTINGS_H_

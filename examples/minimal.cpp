// A minimal host: one balancer, two servers, and one request up to its send.
#include <beechledge/balancer.h>

#include <cstdio>
#include <variant>

int main() {
  using namespace beechledge;
  using std::chrono::milliseconds;
  Settings settings;
  settings.classes = {
      RequestClass{.aim = milliseconds(250), .deadline = milliseconds(1000), .effect = Effect::kSafe}};
  Balancer balancer(settings, 42);
  Actions actions;
  ServerList list;
  list.kind = ListKind::kAll;
  for (ServerId id = 0; id < 2; ++id) {
    ServerEntry entry;
    entry.id = id;
    entry.name = id == 0 ? "cache-a" : "cache-b";
    list.entries.push_back(entry);
  }
  balancer.Handle(milliseconds(0), list, actions);
  NewRequest request;
  request.id = 1;
  request.key = "user:7";
  request.ttl = milliseconds(900);
  balancer.Handle(milliseconds(5), request, actions);
  for (const Action& action : actions) {
    if (const auto* send = std::get_if<Send>(&action)) {
      std::printf("send request %llu to server %u\n", static_cast<unsigned long long>(send->id),
                  send->server);
      return 0;
    }
  }
  return 1;
}

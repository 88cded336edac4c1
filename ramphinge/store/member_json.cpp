// JSON form of membership entries: see member_json.h.

#include "ramphinge/store/member_json.h"

namespace ramphinge {

nlohmann::json toJson(const Member &member)
{
    return { { "host", member.host.text() },
             { "address", member.endpoint.address },
             { "port", member.endpoint.port },
             { "zone", member.zone.text() },
             { "domain", member.domain.text() },
             { "kind", member.kind == UpstreamKind::Engine ? "engine" : "service" },
             { "service", member.service.text() },
             { "accelerators", member.accelerators },
             { "live", member.live },
             { "leaving", member.leaving } };
}

Result<Member> memberFromJson(const nlohmann::json &json)
{
    try {
        Member member;
        member.host = HostId(json.at("host").get<std::string>());
        member.endpoint.address = json.at("address").get<std::string>();
        member.endpoint.port = json.at("port").get<std::uint16_t>();
        member.zone = ZoneId(json.at("zone").get<std::string>());
        member.domain = DomainId(json.value("domain", std::string()));
        member.kind = json.value("kind", std::string("engine")) == "engine" ? UpstreamKind::Engine
                                                                            : UpstreamKind::Service;
        member.service = ServiceId(json.value("service", std::string()));
        member.accelerators = json.value("accelerators", member.accelerators);
        member.live = json.value("live", true);
        member.leaving = json.value("leaving", false);
        return member;
    } catch (const nlohmann::json::exception &e) {
        return Error(ErrorKind::InvalidInput,
                     std::string("a member entry is wrong: ") + e.what()
                         + "; give host, address, port, zone, domain and kind");
    }
}

} // namespace ramphinge

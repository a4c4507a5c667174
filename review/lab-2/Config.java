/* A desired state of a small deployment, as the operator writes it. */
import java.util.*;

final class Config {
    static final String HOST = "shop.example", KEY = "key-1";

    static Map<String, Object> route(String name, String prefix, String type, int timeoutMs, int attempts, String service) {
        return Json.of("name", name, "host", HOST, "pathPrefix", prefix, "type", type, "timeoutMs", timeoutMs,
            "targetLatencyMs", 500, "priority", 1, "service", service, "attempts", attempts, "public", false,
            "sticky", false, "resumable", false);
    }

    static Map<String, Object> service(String name) {
        return Json.of("name", name, "healthPath", "/healthz", "maxConns", 200, "protocol", "h1", "tls", false,
            "coldS", 0.0, "coldPerS", 0.0);
    }

    static void put(Store store, long version, List<Object> routes, List<Object> services, int idleMs) {
        store.put("op", "config", Json.write(Json.of("version", version, "routes", routes, "services", services,
            "limits", Json.of("maxHeaderBytes", 16384, "maxBodyBytes", 4194304, "headerTimeoutMs", 3000,
                "idleTimeoutMs", idleMs),
            "tenants", List.of(Json.of("name", "tenant-1", "apiKeys", List.of(KEY), "priority", 1, "unit", "tokens",
                "plainTokens", 1, "ratePerS", 100000, "burst", 100000)))));
    }
}

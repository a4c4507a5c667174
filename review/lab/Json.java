import java.util.ArrayList;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;

/** A small JSON reader and writer: objects are maps, arrays are lists, numbers are doubles. */
final class Json {
    private final String text;
    private int at;

    private Json(String text) {
        this.text = text;
    }

    @SuppressWarnings("unchecked")
    static Map<String, Object> object(String text) {
        return (Map<String, Object>) new Json(text).value();
    }

    private char next() {
        while (Character.isWhitespace(text.charAt(at))) at++;
        return text.charAt(at);
    }

    private Object value() {
        char first = next();
        if (first == '{') {
            Map<String, Object> map = new LinkedHashMap<>();
            at++;
            while (next() != '}') {
                if (next() == ',') at++;
                if (next() == '}') break;
                String key = string();
                next();
                at++; // the colon
                map.put(key, value());
            }
            at++;
            return map;
        }
        if (first == '[') {
            List<Object> list = new ArrayList<>();
            at++;
            while (next() != ']') {
                if (next() == ',') {
                    at++;
                    continue;
                }
                list.add(value());
            }
            at++;
            return list;
        }
        if (first == '"') return string();
        int start = at;
        while (at < text.length() && ",]} \r\n\t".indexOf(text.charAt(at)) < 0) at++;
        String word = text.substring(start, at);
        return switch (word) {
            case "true" -> Boolean.TRUE;
            case "false" -> Boolean.FALSE;
            case "null" -> null;
            default -> Double.valueOf(word);
        };
    }

    private String string() {
        next();
        StringBuilder out = new StringBuilder();
        at++;
        while (text.charAt(at) != '"') {
            char c = text.charAt(at++);
            if (c != '\\') {
                out.append(c);
                continue;
            }
            char escaped = text.charAt(at++);
            switch (escaped) {
                case 'n' -> out.append('\n');
                case 'r' -> out.append('\r');
                case 't' -> out.append('\t');
                case 'u' -> {
                    out.append((char) Integer.parseInt(text.substring(at, at + 4), 16));
                    at += 4;
                }
                default -> out.append(escaped);
            }
        }
        at++;
        return out.toString();
    }

    static String quote(String value) {
        return '"' + value.replace("\\", "\\\\").replace("\"", "\\\"") + '"';
    }
}

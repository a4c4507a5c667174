/* A small JSON reader and writer: objects are maps, arrays are lists, numbers are longs or doubles. */
import java.util.*;

final class Json {
    private final String text;
    private int at;

    private Json(String text) { this.text = text; }

    static Object parse(String text) {
        Json json = new Json(text);
        Object value = json.value();
        json.space();
        if (json.at != text.length()) throw new IllegalArgumentException("text after the value");
        return value;
    }

    @SuppressWarnings("unchecked")
    static Map<String, Object> object(String text) { return (Map<String, Object>) parse(text); }

    static Map<String, Object> of(Object... pairs) {
        Map<String, Object> map = new LinkedHashMap<>();
        for (int i = 0; i < pairs.length; i += 2) map.put((String) pairs[i], pairs[i + 1]);
        return map;
    }

    static String write(Object value) {
        StringBuilder out = new StringBuilder();
        write(value, out);
        return out.toString();
    }

    private static void write(Object value, StringBuilder out) {
        if (value instanceof Map<?, ?> map) {
            out.append('{');
            String separator = "";
            for (Map.Entry<?, ?> entry : map.entrySet()) {
                out.append(separator);
                write(entry.getKey(), out);
                out.append(':');
                write(entry.getValue(), out);
                separator = ",";
            }
            out.append('}');
        } else if (value instanceof Collection<?> list) {
            out.append('[');
            String separator = "";
            for (Object element : list) {
                out.append(separator);
                write(element, out);
                separator = ",";
            }
            out.append(']');
        } else if (value instanceof String string) {
            out.append('"');
            for (char c : string.toCharArray()) {
                if (c == '"' || c == '\\') out.append('\\').append(c);
                else if (c < 0x20) out.append(String.format("\\u%04x", (int) c));
                else out.append(c);
            }
            out.append('"');
        } else {
            out.append(value);
        }
    }

    private Object value() {
        space();
        char c = text.charAt(at);
        if (c == '{') return object();
        if (c == '[') return array();
        if (c == '"') return string();
        int start = at;
        while (at < text.length() && ",]} \n\r\t".indexOf(text.charAt(at)) < 0) at++;
        String word = text.substring(start, at);
        switch (word) {
            case "null": return null;
            case "true": return true;
            case "false": return false;
            default:
                if (word.matches("-?[0-9]+")) return Long.valueOf(word);
                return Double.valueOf(word);
        }
    }

    private Map<String, Object> object() {
        Map<String, Object> map = new LinkedHashMap<>();
        at++;
        space();
        while (text.charAt(at) != '}') {
            space();
            String name = string();
            space();
            if (text.charAt(at++) != ':') throw new IllegalArgumentException("colon expected");
            map.put(name, value());
            space();
            if (text.charAt(at) == ',') at++;
            space();
        }
        at++;
        return map;
    }

    private List<Object> array() {
        List<Object> list = new ArrayList<>();
        at++;
        space();
        while (text.charAt(at) != ']') {
            list.add(value());
            space();
            if (text.charAt(at) == ',') at++;
            space();
        }
        at++;
        return list;
    }

    private String string() {
        StringBuilder out = new StringBuilder();
        if (text.charAt(at++) != '"') throw new IllegalArgumentException("string expected");
        while (text.charAt(at) != '"') {
            char c = text.charAt(at++);
            if (c == '\\') {
                char escaped = text.charAt(at++);
                switch (escaped) {
                    case 'n': c = '\n'; break;
                    case 'r': c = '\r'; break;
                    case 't': c = '\t'; break;
                    case 'b': c = '\b'; break;
                    case 'f': c = '\f'; break;
                    case 'u':
                        c = (char) Integer.parseInt(text.substring(at, at + 4), 16);
                        at += 4;
                        break;
                    default: c = escaped;
                }
            }
            out.append(c);
        }
        at++;
        return out.toString();
    }

    private void space() { while (at < text.length() && " \n\r\t".indexOf(text.charAt(at)) >= 0) at++; }
}

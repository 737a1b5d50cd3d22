import java.util.ArrayList;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;

/** A small JSON reader and writer: objects are maps, arrays are lists, integers are Long, other numbers Double. */
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

    static Map<String, Object> map(Object... pairs) {
        Map<String, Object> map = new LinkedHashMap<>();
        for (int i = 0; i < pairs.length; i += 2) map.put((String) pairs[i], pairs[i + 1]);
        return map;
    }

    @SuppressWarnings("unchecked")
    static List<Map<String, Object>> objects(Object list) {
        return list == null ? List.of() : (List<Map<String, Object>>) list;
    }

    static long number(Object value) {
        return ((Number) value).longValue();
    }

    private void space() {
        while (at < text.length() && text.charAt(at) <= ' ') at++;
    }

    private Object value() {
        space();
        if (at >= text.length()) throw new IllegalArgumentException("empty JSON");
        char c = text.charAt(at);
        if (c == '{') {
            Map<String, Object> map = new LinkedHashMap<>();
            at++;
            for (space(); text.charAt(at) != '}'; space()) {
                if (text.charAt(at) == ',') at++;
                space();
                String key = string();
                space();
                at++;
                map.put(key, value());
            }
            at++;
            return map;
        }
        if (c == '[') {
            List<Object> list = new ArrayList<>();
            at++;
            for (space(); text.charAt(at) != ']'; space()) {
                if (text.charAt(at) == ',') at++;
                list.add(value());
            }
            at++;
            return list;
        }
        if (c == '"') return string();
        int from = at;
        while (at < text.length() && ",]} \r\n\t".indexOf(text.charAt(at)) < 0) at++;
        String word = text.substring(from, at);
        if (word.equals("true")) return true;
        if (word.equals("false")) return false;
        if (word.equals("null")) return null;
        if (word.matches("-?[0-9]+")) return Long.parseLong(word);
        return Double.parseDouble(word);
    }

    private String string() {
        StringBuilder out = new StringBuilder();
        at++;
        while (text.charAt(at) != '"') {
            char c = text.charAt(at++);
            if (c == '\\') {
                c = text.charAt(at++);
                if (c == 'n') c = '\n';
                else if (c == 't') c = '\t';
                else if (c == 'r') c = '\r';
                else if (c == 'b') c = '\b';
                else if (c == 'f') c = '\f';
                else if (c == 'u') {
                    c = (char) Integer.parseInt(text.substring(at, at + 4), 16);
                    at += 4;
                }
            }
            out.append(c);
        }
        at++;
        return out.toString();
    }

    static String text(Object value) {
        StringBuilder out = new StringBuilder();
        write(out, value);
        return out.toString();
    }

    private static void write(StringBuilder out, Object value) {
        if (value instanceof String) {
            out.append('"');
            for (char c : ((String) value).toCharArray()) {
                if (c == '"' || c == '\\') out.append('\\').append(c);
                else if (c < ' ') out.append(String.format("\\u%04x", (int) c));
                else out.append(c);
            }
            out.append('"');
        } else if (value instanceof Map) {
            String comma = "";
            out.append('{');
            for (Map.Entry<?, ?> e : ((Map<?, ?>) value).entrySet()) {
                out.append(comma);
                write(out, e.getKey());
                out.append(':');
                write(out, e.getValue());
                comma = ",";
            }
            out.append('}');
        } else if (value instanceof Iterable) {
            String comma = "";
            out.append('[');
            for (Object element : (Iterable<?>) value) {
                out.append(comma);
                write(out, element);
                comma = ",";
            }
            out.append(']');
        } else {
            out.append(value);
        }
    }
}

package org.elderhitch.sweeps

import org.elderhitch.json.Json
import org.elderhitch.json.JsonObject

/** Descriptions of an example sweep over thresholds and lakes. */
internal object ExampleSweeps {
    private const val JOB = """{"lotClass":"score","desk":"team","lotKind":"array","urgency":"normal","crates":"${'$'}{tasks}",
        "cores":4.0,"accelerators":0.5,"memGb":8.0,
        "catchImage":"img-${'$'}{lake}","pullGb":1.0,"borrowedRigs":true,"haulS":"${'$'}{runs}","tallyS":0.0,"stowS":0.0}"""
    const val PARAMS: String = """{"tasks":{"type":"whole","default":1,"least":1,"most":50},
        "lake":{"choices":["tana","ziway","hawassa"],"default":"tana"},
        "runs":{"type":"number","default":3,"least":0.1},"threshold":{"type":"number","least":0,"most":1}}"""

    fun json(points: String, extraFields: String = ""): JsonObject =
        Json.parseObject("""{"params":$PARAMS,"job":$JOB,"points":$points$extraFields}""".encodeToByteArray())

    fun of(points: String, extraFields: String = ""): Description = Description.parse(json(points, extraFields))

    fun decimal(n: Int): String = "%.5f".format(java.util.Locale.ROOT, n / 100_000.0)

    /** [count] distinct decimals without a pattern, so that they compress badly. */
    fun irregularDecimals(count: Int): List<String> = List(count) {
        "0." +
            (1_000_000_000_000_000 + kotlin.random.Random(it).nextLong(9_000_000_000_000_000))
    }

    /** A sweep of [count] points, given as a range. */
    fun range(count: Int, extraFields: String = ""): Description =
        of("""{"grid":{"threshold":"0 .. ${decimal(count - 1)} step 0.00001"}}""", extraFields)
}

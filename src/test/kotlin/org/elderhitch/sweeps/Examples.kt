package org.elderhitch.sweeps

import org.elderhitch.json.Json
import org.elderhitch.json.JsonObject

/** A sweep over thresholds and lakes, for tests. */
internal object Examples {
    private const val JOB = """{"lotClass":"score","desk":"team","lotKind":"array","urgency":"normal","crates":"${'$'}{tasks}",
        "cores":4.0,"accelerators":0.5,"memGb":8.0,
        "catchImage":"img-${'$'}{lake}","pullGb":1.0,"borrowedRigs":true,"haulS":"${'$'}{runs}","tallyS":0.0,"stowS":0.0}"""
    const val PARAMS: String = """{"tasks":{"type":"whole","default":1,"least":1,"most":50},
        "lake":{"choices":["tana","ziway","hawassa"],"default":"tana"},
        "runs":{"type":"number","default":3,"least":0.1},"threshold":{"type":"number","least":0,"most":1}}"""

    fun json(points: String, more: String = ""): JsonObject =
        Json.parseObject("""{"params":$PARAMS,"job":$JOB,"points":$points$more}""".encodeToByteArray())

    fun of(points: String, more: String = ""): Description = Description.parse(json(points, more))

    fun decimal(n: Int): String = "%.5f".format(java.util.Locale.ROOT, n / 100_000.0)

    /** As many decimals as lie apart, no two alike. */
    fun scattered(count: Int): List<String> = List(count) {
        "0." +
            (1_000_000_000_000_000 + kotlin.random.Random(it).nextLong(9_000_000_000_000_000))
    }

    /** [count] points, by a range. */
    fun range(count: Int, more: String = ""): Description =
        of("""{"grid":{"threshold":"0 .. ${decimal(count - 1)} step 0.00001"}}""", more)
}

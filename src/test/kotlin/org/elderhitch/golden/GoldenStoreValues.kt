package org.elderhitch.golden

import org.elderhitch.json.Json
import org.elderhitch.json.JsonObject
import org.elderhitch.json.MalformedJson
import kotlin.test.assertEquals
import kotlin.test.assertFailsWith

/** The golden samples of stored values under `store/`, and assertions on them. */
internal object GoldenStoreValues {
    fun text(name: String) = GoldenFiles.text("store/$name.json")

    fun stored(name: String) = Json.parseObject(GoldenFiles.bytes("store/$name.json"))

    fun parse(text: String) = Json.parseObject(text.encodeToByteArray())

    fun assertMatchesSample(name: String, value: Map<String, Any?>) = assertEquals(text(name), Json.text(value), name)

    fun JsonObject.text() = Json.text(names.associateWith(::raw))

    fun assertMalformed(message: String, read: () -> Any?) =
        assertEquals(message, assertFailsWith<MalformedJson> { read() }.message)
}

package org.elderhitch.golden

import org.elderhitch.json.Json
import org.elderhitch.json.JsonObject
import org.elderhitch.json.MalformedJson
import kotlin.test.assertEquals
import kotlin.test.assertFailsWith

/** Stored values of the golden samples under `store/`, and how they are compared. */
internal object GoldenStoreValues {
    fun text(name: String) = GoldenFiles.text("store/$name.json")

    fun stored(name: String) = Json.parseObject(GoldenFiles.bytes("store/$name.json"))

    fun of(text: String) = Json.parseObject(text.encodeToByteArray())

    fun same(name: String, value: Map<String, Any?>) = assertEquals(text(name), Json.text(value), name)

    fun JsonObject.text() = Json.text(names.associateWith(::raw))

    fun malformed(message: String, read: () -> Any?) =
        assertEquals(message, assertFailsWith<MalformedJson> { read() }.message)
}

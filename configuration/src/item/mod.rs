//! Items of the configuration: the elements of its lists, and the values of sections that are not lists.

mod limits;
mod route;
mod service;

use std::sync::Arc;

use shaletrail_protocol::internal::ItemKey;
use sonic_rs::{JsonValueTrait, LazyValue};

use crate::error::InvalidConfig;
use crate::json::{self, JsonPath, Object};
use crate::keys::{LIMITS, NAME, ROUTES, SERVICES};
use crate::schema::{ClientLimits, Service};

pub(crate) use route::ParsedRoute;

/// An item's typed form.
#[derive(Clone, Debug)]
pub(crate) enum ItemValue {
    Route(ParsedRoute),
    Service(Arc<Service>),
    Limits(ClientLimits),
    /// Any other item. It is stored and returned, but not interpreted.
    Opaque,
}

/// An item, both as JSON and in its typed form.
#[derive(Clone, Debug)]
pub(crate) struct Item {
    /// Section key and item name; the name is empty for the value of a section that is not a list.
    pub(crate) key: ItemKey,
    /// The JSON as the operator wrote it.
    pub(crate) json: String,
    pub(crate) value: ItemValue,
}

impl Item {
    /// Parses an element of a list. Returns `Ok(None)` if it is not an object with a name. In the lists of routes and
    /// services, such an element is an error.
    pub(crate) fn parse_element(list: &str, value: LazyValue<'_>) -> Result<Option<Item>, InvalidConfig> {
        let json = value.as_raw_str().to_owned();
        let must_be_named = list == ROUTES || list == SERVICES;
        let path = JsonPath::section(list);
        if !value.is_object() {
            return if must_be_named {
                Err(path.unexpected_value("item", &json, "an object"))
            } else {
                Ok(None)
            };
        }
        let name = value.get(NAME).and_then(|name| name.as_str().map(str::to_owned));
        let Some(name) = name.filter(|name| !name.is_empty()) else {
            return if must_be_named {
                Err(path.missing_field(NAME, "a text that names the item"))
            } else {
                Ok(None)
            };
        };
        let object = Object::parse(value, JsonPath::item(list, &name))?;
        let value = match list {
            ROUTES => ItemValue::Route(route::parse(&object)?),
            SERVICES => ItemValue::Service(Arc::new(service::parse(&object)?)),
            _ => ItemValue::Opaque,
        };
        let key = ItemKey { list: list.to_owned(), name: name.clone() };
        Ok(Some(Item { key, json, value }))
    }

    /// Parses the value of a section that is not a list of items.
    pub(crate) fn parse_value(key: &str, value: LazyValue<'_>) -> Result<Item, InvalidConfig> {
        let json = value.as_raw_str().to_owned();
        let value = match key {
            LIMITS if json == "null" => ItemValue::Limits(ClientLimits::default()),
            LIMITS => {
                let object = Object::parse_required(value, "value", JsonPath::section(LIMITS))?;
                ItemValue::Limits(limits::parse(&object)?)
            }
            _ => ItemValue::Opaque,
        };
        let key = ItemKey { list: key.to_owned(), name: String::new() };
        Ok(Item { key, json, value })
    }

    /// Parses the JSON of an item from a snapshot or an update, which must have the given name; an empty `name` stands
    /// for the value of a section that is not a list.
    pub(crate) fn parse_stored(list: &str, name: &str, json: &str) -> Result<Item, InvalidConfig> {
        let value = json::parse(json.as_bytes())?;
        if name.is_empty() {
            return Item::parse_value(list, value);
        }
        let item = Item::parse_element(list, value)?.filter(|item| item.key.name == name);
        item.ok_or_else(|| JsonPath::item(list, name).unexpected_value(NAME, json, "the item's name"))
    }

    /// Returns the route, or `None` if the item is not a route.
    pub(crate) fn as_route(&self) -> Option<&ParsedRoute> {
        match &self.value {
            ItemValue::Route(route) => Some(route),
            _ => None,
        }
    }
}
